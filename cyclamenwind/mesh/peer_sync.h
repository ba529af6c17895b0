// PeerSync: the second way to newer state, beside the platform.
//
// Daemons announce changes of the servers beside them to each other, and say in
// each frame of a request which configuration they route by; one that finds
// itself behind asks. A daemon that cannot read the platform asks a peer for
// everything once a second. Streams to all known daemons are kept up, so that a
// process that started anew is found by its peers even while the platform is
// away.
//
// A host that has not been reached for RemoveAfter is taken to be gone: the
// daemon with the lowest address removes its records from the platform. One
// that lives writes its records anew (store_sync.h).

#ifndef CYCLAMENWIND_MESH_PEER_SYNC_H
#define CYCLAMENWIND_MESH_PEER_SYNC_H

#include "cyclamenwind/mesh/mesh_state.h"
#include "cyclamenwind/mesh/store_sync.h"
#include "cyclamenwind/peer/transport.h"

namespace cyclamenwind {

// A service named "peer_sync".
class PeerSync final : public Service {
public:
  explicit PeerSync(const MeshCodec &Codec) : Codec(Codec) {}

  std::string_view name() const override { return "peer_sync"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

private:
  struct Contact {
    TimePoint LastUp;
    TimePoint NextTry;
    int Tries = 0;
  };

  void receiveAnnounce(const Address &From, std::string_view Payload);
  void receivePull(const Address &From, std::string_view Payload);
  void receiveState(const Address &From, std::string_view Payload);
  void pull(const Address &From);
  void behind(const Address &Peer);
  void tick();
  void askAtStart();
  void keepContact();
  void contact(const Address &Daemon);
  std::vector<Address> pullCandidates() const;
  void removeDead(TimePoint Now);

  const MeshCodec &Codec;
  Clock *Time = nullptr;
  Scheduler *Timers = nullptr;
  Random *Rng = nullptr;
  MeshState *State = nullptr;
  StoreSync *Store = nullptr;
  PeerTransport *Peers = nullptr;
  std::map<Address, Contact> Contacts;
  TimePoint LastTick;
  TimePoint TrustedFrom; // Silence before this may be this process's own.
  TimerHandle Ticker;
  TimerHandle StartTicker;
  TimerHandle BehindTimer;
};

} // namespace cyclamenwind

#endif
