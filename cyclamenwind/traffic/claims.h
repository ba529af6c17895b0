// Claims: at most one run for each idempotency key, across daemons.
//
// On a route with the resubmission rule "claim" a request that carries an
// Idempotency-Key must acquire a claim before it is sent. A claim is an object
// on the platform, created by conditional write, so that only one daemon
// acquires the key.
//
// A refused request releases its claim. An answer of up to MaxStoredBodyBytes
// is stored with the claim, and a resubmission receives the stored answer. A
// resubmission that finds a claim without an answer is not run; its outcome is
// unknown.

#ifndef CYCLAMENWIND_TRAFFIC_CLAIMS_H
#define CYCLAMENWIND_TRAFFIC_CLAIMS_H

#include "cyclamenwind/store/client.h"
#include "cyclamenwind/wire/gen-cpp/calls_types.h"

#include <memory>
#include <optional>

namespace cyclamenwind {

enum class ClaimStatus {
  Granted,     // The claim was acquired; the request may be sent.
  Taken,       // An earlier request with this key holds the claim.
  Mismatch,    // The key was used for another request.
  Unavailable, // The platform confirmed nothing; the request must not run.
};

struct Claim {
  std::string ObjectKey;      // Key of the claim on the platform.
  uint64_t ObjectVersion = 0; // Version of that object.
  int64_t Operation = 0;      // Random; identifies this claim.
  int64_t RequestHash = 0;    // Hash of method, target and body.
  std::string Holder;         // Member that made the claim.
};

struct ClaimOutcome {
  ClaimStatus Status = ClaimStatus::Unavailable;
  Claim Held;                            // If Granted.
  std::optional<wire::CallReply> Answer; // If Taken and an answer is stored.
};

// Prefix of the keys of claims on the platform.
inline constexpr char ClaimPrefix[] = "claims/";

class Claims {
public:
  using ClaimCallback = std::function<void(ClaimOutcome)>;

  // Answers with a larger body are not stored.
  static constexpr size_t MaxStoredBodyBytes = 16 * 1024;

  explicit Claims(PlatformClient &Platform)
      : Platform(Platform), Alive(std::make_shared<bool>(true)) {}
  ~Claims() { *Alive = false; }
  Claims(const Claims &) = delete;
  Claims &operator=(const Claims &) = delete;

  // Returns the claim of Request; its object key is a hash of route and
  // idempotency key.
  static Claim claimFor(const wire::CallRequest &Request,
                        const std::string &Holder, int64_t Operation);

  // Tries to acquire the claim; calls OnDone once.
  void acquire(const Claim &Wanted, ClaimCallback OnDone);

  // Releases a claim whose request was not run, and calls OnDone whether or not
  // that succeeded. If the platform does not answer, the claim may remain.
  void release(const Claim &Held, std::function<void()> OnDone);

  // Stores the answer with the claim. If that fails, resubmissions end with an
  // unknown outcome.
  void storeAnswer(const Claim &Held, const wire::CallReply &Answer);

private:
  void createObject(const Claim &Wanted, int Creations, ClaimCallback OnDone);
  void readExisting(const Claim &Wanted, int Creations, ClaimCallback OnDone);

  PlatformClient &Platform;
  std::shared_ptr<bool> Alive;
};

} // namespace cyclamenwind

#endif
