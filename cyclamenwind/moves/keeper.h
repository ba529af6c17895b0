// MoveKeeper: writes the records of moves while this daemon holds the lease.
//
// Each turn it computes the successor of every record and writes it on the
// condition that the record is the one it was computed from. A conflict or a
// lost answer is resolved by reading the record back. Nothing is sent when the
// lease is no longer held, and a write that was under way then either comes
// before the next holder's or fails.

#ifndef CYCLAMENWIND_MOVES_KEEPER_H
#define CYCLAMENWIND_MOVES_KEEPER_H

#include "cyclamenwind/base/random.h"
#include "cyclamenwind/config/snapshot.h"
#include "cyclamenwind/moves/machine.h"
#include "cyclamenwind/store/client.h"

#include <functional>
#include <map>
#include <memory>

namespace cyclamenwind {

// The keeper's view of the daemon.
class MoveInputs {
public:
  virtual ~MoveInputs() = default;
  virtual SnapshotPtr snapshot() const = 0;
  virtual bool serversReady(const MoveSpec &Spec) const = 0;
  virtual std::optional<MoveStanding>
  standing(const std::string &Move) const = 0;
  virtual std::optional<MoveFault> fault(const std::string &Move) const = 0;

  // A record that is certain to be on the platform; Written if this keeper
  // wrote it.
  virtual void recorded(const MoveRecord &Record, bool Written) = 0;
};

// The lease as held at the time of a turn; an epoch of 0: not held.
struct LeaseEpoch {
  uint64_t Epoch = 0;
};

class MoveKeeper {
public:
  MoveKeeper(PlatformClient &Platform, Random &Dice, std::string Holder,
             MoveInputs &Inputs)
      : Platform(Platform), Dice(Dice), Holder(std::move(Holder)),
        Inputs(Inputs) {}
  ~MoveKeeper() { *Alive = false; }
  MoveKeeper(const MoveKeeper &) = delete;
  MoveKeeper &operator=(const MoveKeeper &) = delete;

  // Takes one turn; called at least once a second.
  void turn(LeaseEpoch Lease, WallTime Now);

private:
  struct Slot {
    std::optional<MoveRecord> Record;
    uint64_t ObjectVersion = 0;
    bool Busy = false; // An answer is awaited.
    bool NeedsReading = false;
    std::string LostOperation; // Whose answer is unknown.
  };

  void load();
  void turnOf(const std::string &Name, WallTime Now);
  MoveContext contextFor(const std::string &Name);
  void write(const std::string &Name, const MoveRecord &Next);
  void writeEnded(const std::string &Name, const MoveRecord &Next,
                  Result<uint64_t, PlatformError> Outcome);
  void read(const std::string &Name);
  void readEnded(const std::string &Name,
                 Result<PlatformObject, PlatformError> Outcome);
  void hold(Slot &Place, const PlatformObject &Object);

  PlatformClient &Platform;
  Random &Dice;
  std::string Holder;
  MoveInputs &Inputs;
  LeaseEpoch Present;
  bool Loaded = false;
  bool Loading = false;
  std::map<std::string, Slot> Slots;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwind

#endif
