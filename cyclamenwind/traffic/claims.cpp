#include "cyclamenwind/traffic/claims.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/peer/frame.h"

#include <openssl/evp.h>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace cyclamenwind {
namespace {

// Limit on attempts to create the object of a claim.
constexpr int MaxCreations = 2;

// Base64, since values on the platform may be carried in JSON.
std::string encodeRecord(const wire::ClaimRecord &Record) {
  std::string Bytes = encodeMessage(Record);
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<size_t>(Length));
  return Text;
}

std::optional<wire::ClaimRecord> decodeRecord(const std::string &Text) {
  std::string Bytes(Text.size(), '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<size_t>(Length) - Padding);
  Result<wire::ClaimRecord, FrameError> Record =
      decodeMessage<wire::ClaimRecord>(Bytes);
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

wire::ClaimRecord claimRecord(const Claim &Held) {
  wire::ClaimRecord Record;
  Record.operation = Held.Operation;
  Record.request = Held.RequestHash;
  Record.holder = Held.Holder;
  return Record;
}

bool isUncertain(PlatformError Error) {
  return Error == PlatformError::NoAnswer || Error == PlatformError::Restored ||
         Error == PlatformError::Malformed;
}

// Returns the outcome for Wanted, given the object that is stored under its
// key.
ClaimOutcome outcomeFor(const Claim &Wanted, const PlatformObject &Found) {
  ClaimOutcome Outcome;
  std::optional<wire::ClaimRecord> Record = decodeRecord(Found.Value);
  if (!Record) {
    logError("claim_malformed", {{"object", Found.Key}});
    Outcome.Status = ClaimStatus::Taken;
    return Outcome;
  }
  if (Record->operation == Wanted.Operation) {
    Outcome.Status = ClaimStatus::Granted;
    Outcome.Held = Wanted;
    Outcome.Held.ObjectVersion = Found.Version;
    return Outcome;
  }
  bool SameRequest = Record->request == Wanted.RequestHash;
  Outcome.Status = SameRequest ? ClaimStatus::Taken : ClaimStatus::Mismatch;
  if (SameRequest && Record->__isset.answer)
    Outcome.Answer = std::move(Record->answer);
  return Outcome;
}

} // namespace

Claim Claims::claimFor(const wire::CallRequest &Request,
                       const std::string &Holder, int64_t Operation) {
  std::string Scope = Request.route + "\n" + Request.idempotencyKey;
  std::string RequestText =
      Request.method + "\n" + Request.target + "\n" + Request.body;
  Claim NewClaim;
  NewClaim.ObjectKey =
      ClaimPrefix + hexOf(XXH3_128bits(Scope.data(), Scope.size()));
  NewClaim.Operation = Operation;
  NewClaim.RequestHash =
      static_cast<int64_t>(XXH3_64bits(RequestText.data(), RequestText.size()));
  NewClaim.Holder = Holder;
  return NewClaim;
}

void Claims::acquire(const Claim &Wanted, ClaimCallback OnDone) {
  createObject(Wanted, /*Creations=*/1, std::move(OnDone));
}

void Claims::createObject(const Claim &Wanted, int Creations,
                          ClaimCallback OnDone) {
  Platform.write(
      Wanted.ObjectKey, encodeRecord(claimRecord(Wanted)), /*IfVersion=*/0,
      [this, IsAlive = Alive, Wanted, Creations,
       OnDone = std::move(OnDone)](Result<uint64_t, PlatformError> Written) {
        if (!*IsAlive)
          return;
        ClaimOutcome Outcome;
        if (Written) {
          Outcome.Status = ClaimStatus::Granted;
          Outcome.Held = Wanted;
          Outcome.Held.ObjectVersion = Written.value();
          OnDone(std::move(Outcome));
          return;
        }
        if (Written.error() == PlatformError::Conflict ||
            isUncertain(Written.error()))
          readExisting(Wanted, Creations, OnDone);
        else
          OnDone(std::move(Outcome));
      });
}

// Reads the stored object after a creation that met a conflict or got no valid
// answer.
void Claims::readExisting(const Claim &Wanted, int Creations,
                          ClaimCallback OnDone) {
  Platform.read(
      Wanted.ObjectKey,
      [this, IsAlive = Alive, Wanted, Creations, OnDone = std::move(OnDone)](
          Result<PlatformObject, PlatformError> Found) {
        if (!*IsAlive)
          return;
        if (Found) {
          OnDone(outcomeFor(Wanted, Found.value()));
          return;
        }
        // The unanswered creation may still take effect; retrying it with the
        // same operation is safe.
        if (Found.error() == PlatformError::NotFound &&
            Creations < MaxCreations)
          createObject(Wanted, Creations + 1, OnDone);
        else
          OnDone(ClaimOutcome());
      });
}

void Claims::release(const Claim &Held, std::function<void()> OnDone) {
  Platform.remove(
      Held.ObjectKey, Held.ObjectVersion,
      [IsAlive = Alive, ObjectKey = Held.ObjectKey,
       OnDone = std::move(OnDone)](Result<uint64_t, PlatformError> Removed) {
        if (!*IsAlive)
          return;
        if (!Removed)
          logWarning(
              "claim_not_released",
              {{"object", ObjectKey}, {"cause", nameOf(Removed.error())}});
        OnDone();
      });
}

void Claims::storeAnswer(const Claim &Held, const wire::CallReply &Answer) {
  if (Answer.body.size() > MaxStoredBodyBytes)
    return;
  wire::ClaimRecord Record = claimRecord(Held);
  Record.__set_answer(Answer);
  Platform.write(
      Held.ObjectKey, encodeRecord(Record), Held.ObjectVersion,
      [ObjectKey = Held.ObjectKey](Result<uint64_t, PlatformError> Written) {
        if (!Written)
          logWarning(
              "claim_answer_not_kept",
              {{"object", ObjectKey}, {"cause", nameOf(Written.error())}});
      });
}

} // namespace cyclamenwind
