#include "cyclamenwind/traffic/claims.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/peer/frame.h"

#include <openssl/evp.h>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace cyclamenwind {
namespace {

// Attempts to create an object whose creation got no answer.
constexpr int MaxTries = 2;

// Text, since values of the platform may be carried in JSON.
std::string textOf(const wire::ClaimRecord &Record) {
  std::string Octets = encodeMessage(Record);
  std::string Text(4 * ((Octets.size() + 2) / 3) + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Octets.data()),
                      static_cast<int>(Octets.size()));
  Text.resize(static_cast<size_t>(Length));
  return Text;
}

std::optional<wire::ClaimRecord> recordIn(const std::string &Text) {
  std::string Octets(Text.size(), '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Octets.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Octets.resize(static_cast<size_t>(Length) - Padding);
  Result<wire::ClaimRecord, FrameError> Record =
      decodeMessage<wire::ClaimRecord>(Octets);
  if (!Record)
    return std::nullopt;
  return std::move(Record.value());
}

std::string hexOf(XXH128_hash_t Hash) {
  char Text[33];
  std::snprintf(Text, sizeof Text, "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return Text;
}

wire::ClaimRecord recordOf(const Claim &Held) {
  wire::ClaimRecord Record;
  Record.operation = Held.Operation;
  Record.request = Held.Request;
  Record.holder = Held.Holder;
  return Record;
}

bool isUncertain(PlatformError Error) {
  return Error == PlatformError::NoAnswer || Error == PlatformError::Malformed;
}

// What an object found on the platform means for the claim that is wanted.
ClaimOutcome outcomeOf(const Claim &Wanted, const PlatformObject &Found) {
  ClaimOutcome Outcome;
  std::optional<wire::ClaimRecord> Record = recordIn(Found.Value);
  if (!Record) {
    logError("claim_malformed", {{"object", Found.Key}});
    Outcome.Verdict = ClaimVerdict::Taken;
    return Outcome;
  }
  if (Record->operation == Wanted.Operation) {
    Outcome.Verdict = ClaimVerdict::Granted;
    Outcome.Held = Wanted;
    Outcome.Held.Version = Found.Version;
    return Outcome;
  }
  bool Same = Record->request == Wanted.Request;
  Outcome.Verdict = Same ? ClaimVerdict::Taken : ClaimVerdict::Mismatch;
  if (Same && Record->__isset.answer)
    Outcome.Answer = std::move(Record->answer);
  return Outcome;
}

} // namespace

Claim Claims::claimFor(const wire::CallRequest &Request,
                       const std::string &Holder, int64_t Operation) {
  std::string Scope = Request.route + "\n" + Request.idempotencyKey;
  std::string Asked =
      Request.method + "\n" + Request.target + "\n" + Request.body;
  Claim Made;
  Made.Object = ClaimPrefix + hexOf(XXH3_128bits(Scope.data(), Scope.size()));
  Made.Operation = Operation;
  Made.Request = static_cast<int64_t>(XXH3_64bits(Asked.data(), Asked.size()));
  Made.Holder = Holder;
  return Made;
}

void Claims::make(const Claim &Wanted, ClaimCallback OnDone) {
  create(Wanted, /*Tries=*/1, std::move(OnDone));
}

void Claims::create(const Claim &Wanted, int Tries, ClaimCallback OnDone) {
  Platform.write(
      Wanted.Object, textOf(recordOf(Wanted)), /*IfVersion=*/0,
      [this, Life = Alive, Wanted, Tries,
       OnDone = std::move(OnDone)](Result<uint64_t, PlatformError> Written) {
        if (!*Life)
          return;
        ClaimOutcome Outcome;
        if (Written) {
          Outcome.Verdict = ClaimVerdict::Granted;
          Outcome.Held = Wanted;
          Outcome.Held.Version = Written.value();
          OnDone(std::move(Outcome));
          return;
        }
        if (Written.error() == PlatformError::Conflict ||
            isUncertain(Written.error()))
          inspect(Wanted, Tries, OnDone);
        else
          OnDone(std::move(Outcome));
      });
}

// The creation failed or got no answer: reads what is there.
void Claims::inspect(const Claim &Wanted, int Tries, ClaimCallback OnDone) {
  Platform.read(Wanted.Object,
                [this, Life = Alive, Wanted, Tries, OnDone = std::move(OnDone)](
                    Result<PlatformObject, PlatformError> Found) {
                  if (!*Life)
                    return;
                  if (Found) {
                    OnDone(outcomeOf(Wanted, Found.value()));
                    return;
                  }
                  // The creation may still be under way; trying it again with
                  // the same operation is safe.
                  if (Found.error() == PlatformError::NotFound &&
                      Tries < MaxTries)
                    create(Wanted, Tries + 1, OnDone);
                  else
                    OnDone(ClaimOutcome());
                });
}

void Claims::release(const Claim &Held, std::function<void()> OnDone) {
  Platform.remove(
      Held.Object, Held.Version,
      [Life = Alive, Object = Held.Object,
       OnDone = std::move(OnDone)](Result<uint64_t, PlatformError> Removed) {
        if (!*Life)
          return;
        if (!Removed)
          logWarning("claim_not_released",
                     {{"object", Object}, {"cause", nameOf(Removed.error())}});
        OnDone();
      });
}

void Claims::keep(const Claim &Held, const wire::CallReply &Answer) {
  if (Answer.body.size() > MaxKeptBody)
    return;
  wire::ClaimRecord Record = recordOf(Held);
  Record.__set_answer(Answer);
  Platform.write(
      Held.Object, textOf(Record), Held.Version,
      [Object = Held.Object](Result<uint64_t, PlatformError> Written) {
        if (!Written)
          logWarning("claim_answer_not_kept",
                     {{"object", Object}, {"cause", nameOf(Written.error())}});
      });
}

} // namespace cyclamenwind
