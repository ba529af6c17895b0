// RolloutRecordWriter: writes the records of moves while this daemon holds the
// lease.
//
// Each turn it computes the successor of every record and writes it on the
// condition that the record is the one it was computed from. A conflict or a
// lost answer is resolved by reading the record back. Nothing is sent when the
// lease is no longer held, and a write that was under way then either comes
// before the next holder's or fails.

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

// The keeper's view of the daemon.
class RolloutInputs {
public:
  virtual ~RolloutInputs() = default;
  virtual SnapshotPtr snapshot() const = 0;
  virtual bool serversReady(const RolloutSpec &Spec) const = 0;
  virtual std::optional<RolloutProgress>
  standing(const std::string &Move) const = 0;
  virtual std::optional<RolloutFault> fault(const std::string &Move) const = 0;

  // A record that is certain to be on the platform; Written if this keeper
  // wrote it.
  virtual void recorded(const RolloutRecord &Record, bool Written) = 0;
};

// The lease as held at the time of a turn; an epoch of 0: not held.
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

  // Takes one turn; called at least once a second.
  void turn(LeaseEpoch Lease, WallTime Now);

private:
  struct Slot {
    std::optional<RolloutRecord> Record;
    uint64_t ObjectVersion = 0;
    bool Busy = false; // An answer is awaited.
    bool NeedsReading = false;
    std::string LostOperation; // Whose answer is unknown.
  };

  void load();
  void turnOf(const std::string &Name, WallTime Now);
  RolloutContext contextFor(const std::string &Name);
  void write(const std::string &Name, const RolloutRecord &Next);
  void writeEnded(const std::string &Name, const RolloutRecord &Next,
                  Result<uint64_t, PlatformError> Outcome);
  void read(const std::string &Name);
  void readEnded(const std::string &Name,
                 Result<PlatformObject, PlatformError> Outcome);
  void hold(Slot &Place, const PlatformObject &Object);

  PlatformClient &Platform;
  Random &Rng;
  std::string Holder;
  RolloutInputs &Inputs;
  LeaseEpoch Present;
  bool Loaded = false;
  bool Loading = false;
  std::map<std::string, Slot> Slots;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
