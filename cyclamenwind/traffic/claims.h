// Claims: at most one run for each idempotency key, across daemons.
//
// On a route with the resubmission rule "claim" a request that carries an
// Idempotency-Key is claimed before it is sent: an object on the platform is
// created by conditional update, so that of all daemons one is granted the key.
// A request that was refused releases its claim. The answer, if it is small
// enough, is kept with the claim, and a resubmission gets it; until there is an
// answer, or if there never is one, a resubmission is told that the outcome is
// unknown and is not run.

#ifndef CYCLAMENWIND_TRAFFIC_CLAIMS_H
#define CYCLAMENWIND_TRAFFIC_CLAIMS_H

#include "cyclamenwind/store/client.h"
#include "cyclamenwind/wire/gen-cpp/calls_types.h"

#include <memory>
#include <optional>

namespace cyclamenwind {

enum class ClaimVerdict {
  Granted,     // Ours: the request may be sent.
  Taken,       // Claimed before.
  Mismatch,    // The key was used for another request.
  Unavailable, // The platform gave no certain word; the request must not run.
};

struct Claim {
  std::string Object;    // Key of the platform's object.
  uint64_t Version = 0;  // Of the object.
  int64_t Operation = 0; // Random; tells this claim from all others.
  int64_t Request = 0;   // Hash of what is asked.
  std::string Holder;    // Member that made the claim.
};

struct ClaimOutcome {
  ClaimVerdict Verdict = ClaimVerdict::Unavailable;
  Claim Held;                            // When granted.
  std::optional<wire::CallReply> Answer; // When taken and answered.
};

// Claims are under this prefix.
inline constexpr char ClaimPrefix[] = "claims/";

class Claims {
public:
  using ClaimCallback = std::function<void(ClaimOutcome)>;

  // Largest body of an answer that is kept, bytes.
  static constexpr size_t MaxKeptBody = 16 * 1024;

  explicit Claims(PlatformClient &Platform)
      : Platform(Platform), Alive(std::make_shared<bool>(true)) {}
  ~Claims() { *Alive = false; }
  Claims(const Claims &) = delete;
  Claims &operator=(const Claims &) = delete;

  // The claim that Request makes on its route's use of its idempotency key.
  static Claim claimFor(const wire::CallRequest &Request,
                        const std::string &Holder, int64_t Operation);

  // Tries to make the claim; Done is called once.
  void make(const Claim &Wanted, ClaimCallback OnDone);

  // Gives up a claim whose request was not run; Done is called in any case. If
  // the platform does not answer, the claim stays.
  void release(const Claim &Held, std::function<void()> OnDone);

  // Keeps the answer with the claim. If that fails, resubmissions are told that
  // the outcome is unknown.
  void keep(const Claim &Held, const wire::CallReply &Answer);

private:
  void create(const Claim &Wanted, int Tries, ClaimCallback OnDone);
  void inspect(const Claim &Wanted, int Tries, ClaimCallback OnDone);

  PlatformClient &Platform;
  std::shared_ptr<bool> Alive;
};

} // namespace cyclamenwind

#endif
