// RolloutRecordWriter: writes the rollout records while this daemon holds the
// lease.
//
// Each tick computes the successor of every record and writes it on condition
// that the stored record is the one from which it was computed. A conflict or a
// lost answer is resolved by reading the record back. No request is sent once
// the lease is lost; a write that is pending then either takes effect before
// the next holder's write or fails.

#ifndef CYCLAMENWIND_ROLLOUTS_RECORD_WRITER_H
#define CYCLAMENWIND_ROLLOUTS_RECORD_WRITER_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/config/snapshot.h"
#include "cyclamenwind/rollouts/state_machine.h"
#include "cyclamenwind/store/client.h"

#include <functional>
#include <map>
#include <memory>

namespace cyclamenwind {

// What the writer reads from the daemon, and the callback for its results.
class RolloutInputs {
public:
  virtual ~RolloutInputs() = default;
  virtual SnapshotPtr snapshot() const = 0;
  virtual bool serversReady(const RolloutSpec &Spec) const = 0;
  virtual std::optional<RolloutProgress>
  progress(const std::string &Name) const = 0;
  virtual std::optional<RolloutFault> fault(const std::string &Name) const = 0;

  // Called with a record after the platform confirmed its write or after it was
  // read from the platform; Written is set if this writer wrote it.
  virtual void onRecorded(const RolloutRecord &Record, bool Written) = 0;
};

// The lease at the time of a tick; Epoch is 0 if it is not held.
struct LeaseEpoch {
  uint64_t Epoch = 0;
};

class RolloutRecordWriter {
public:
  RolloutRecordWriter(PlatformClient &Platform, Random &Rng, std::string Holder,
                      RolloutInputs &Inputs)
      : Platform(Platform), Rng(Rng), Holder(std::move(Holder)),
        Inputs(Inputs) {}
  ~RolloutRecordWriter() { *Alive = false; }
  RolloutRecordWriter(const RolloutRecordWriter &) = delete;
  RolloutRecordWriter &operator=(const RolloutRecordWriter &) = delete;

  // Advances every rollout if possible; call at least once a second.
  void tick(LeaseEpoch NewLease, WallTime Now);

private:
  struct CachedRecord {
    std::optional<RolloutRecord> Record;
    uint64_t ObjectVersion = 0;
    bool RequestPending = false; // A read or a write.
    bool NeedsRead = false;
    std::string UnconfirmedOperation; // Its outcome is unknown.
  };

  void load();
  void updateRollout(const std::string &Name, WallTime Now);
  RolloutContext contextFor(const std::string &Name);
  void write(const std::string &Name, const RolloutRecord &Next);
  void onWriteResult(const std::string &Name, const RolloutRecord &Next,
                     Result<uint64_t, PlatformError> Outcome);
  void read(const std::string &Name);
  void onReadResult(const std::string &Name,
                    Result<PlatformObject, PlatformError> Outcome);
  void updateCached(CachedRecord &Cached, const PlatformObject &Object);

  PlatformClient &Platform;
  Random &Rng;
  std::string Holder;
  RolloutInputs &Inputs;
  LeaseEpoch Lease;
  bool Loaded = false;
  bool Loading = false;
  std::map<std::string, CachedRecord> Cache;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
