#include "cyclamenwind/mesh/evacuation_sync.h"

#include "cyclamenwind/base/log.h"

namespace cyclamenwind {
namespace {

// Pause between two watch calls, to collect changes; a small part of the time
// within which an evacuation takes effect (5 s).
constexpr Duration CollectDelay = 200ms;
// How soon another daemon takes over from a watcher that is gone, as for the
// configuration (store_sync.cpp).
constexpr Duration WatcherCheckPeriod = 500ms;
// Interval between checks for evacuations that have expired, and for a platform
// that is reachable again.
constexpr Duration CheckPeriod = 500ms;

} // namespace

void EvacuationSync::start(Kernel &TheKernel) {
  if (!EvacuationLimit)
    return;
  Time = &TheKernel.clock();
  Timers = &TheKernel.scheduler();
  State = &TheKernel.find<MeshState>("mesh_state");
  Store = &TheKernel.find<StoreSync>("store_sync");
  Relay = &TheKernel.find<ConfigRelay>("config_relay");
  Peers = &TheKernel.find<PeerTransport>("peers");
  State->enableEvacuations();
  State->onEvacuations([this] { onTableChanged(); });
  Peers->handle(FrameType::EvacuationState,
                [this](const Address &From, std::string_view Payload) {
                  receive(From, Payload);
                });
  Relay->OnAnnounced = [this](const std::set<Address> &Receivers) {
    sendTo(Receivers);
  };
  PrefixWatchOptions Options;
  Options.Prefix = Codec.evacuationPrefix();
  Options.Collect = CollectDelay;
  Options.StartStale = FirstStart;
  Options.ModePollPeriod = WatcherCheckPeriod;
  Options.Mode = [this] { return Store->configWatchMode(); };
  Watch = std::make_unique<PrefixWatch>(
      Platform, *Timers, TheKernel.random(), Options,
      PrefixWatch::Handlers{
          [this](const PlatformListing &Listing) { onListed(Listing); },
          [this](const PlatformChange &Change) { onChanged(Change); },
          [](bool) {},
          // While the platform is unreachable, only the configuration watch
          // retries.
          [this] { return !Store->platformLost(); }});
  Store->OnWatchesSuspect = [this] { Watch->revalidate(); };
  Watch->start();
  CheckTimer = Timers->every(CheckPeriod, [this] {
    State->expireEvacuations(Time->now());
    if (!Store->platformLost())
      Watch->resume();
  });
}

void EvacuationSync::stop() {
  *Alive = false;
  CheckTimer.reset();
  if (Store != nullptr)
    Store->OnWatchesSuspect = nullptr;
  Watch.reset();
}

std::string EvacuationSync::domainOf(const std::string &Key) const {
  return Key.substr(std::min(Key.size(), Codec.evacuationPrefix().size()));
}

void EvacuationSync::onListed(const PlatformListing &Listing) {
  std::set<std::string> Domains;
  for (const PlatformObject &Object : Listing.Objects)
    Domains.insert(domainOf(Object.Key));
  Pending.reset();
  State->applyEvacuations({Platform.restoreEpoch(), Listing.Revision},
                          std::move(Domains), Time->now());
}

// The changes of one watch call are applied together, at the revision of the
// call: the object of a removal does not name that of the removal.
void EvacuationSync::onChanged(const PlatformChange &Change) {
  if (!Pending) {
    Pending = State->evacuations().stored();
    Timers->defer([this, StillAlive = Alive] {
      if (*StillAlive)
        applyPending();
    });
  }
  if (Change.Removed)
    Pending->erase(domainOf(Change.Object.Key));
  else
    Pending->insert(domainOf(Change.Object.Key));
}

void EvacuationSync::applyPending() {
  if (!Pending)
    return;
  std::set<std::string> Domains = std::move(*Pending);
  Pending.reset();
  State->applyEvacuations({Platform.restoreEpoch(), Watch->revision()},
                          std::move(Domains), Time->now());
}

void EvacuationSync::receive(const Address &From, std::string_view Payload) {
  Result<wire::EvacuationState, FrameError> Message =
      decodeMessage<wire::EvacuationState>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  State->applyEvacuations(Message.value(), Time->now());
}

void EvacuationSync::onTableChanged() {
  const EvacuationTable &Table = State->evacuations();
  if (Table.position().Epoch == Platform.restoreEpoch())
    Watch->advanceTo(Table.position().Revision);
  logUnknownDomains();
  sendTo(Relay->receivers());
}

// An object may name no failure domain; then it has no effect.
void EvacuationSync::logUnknownDomains() {
  if (!State->endpointsKnown())
    return;
  std::set<std::string> Known = {Store->failureDomain()};
  for (const auto &[Id, Endpoint] : State->directory().all())
    Known.insert(Endpoint.FailureDomain);
  std::set<std::string> Unknown;
  for (const std::string &Domain : State->evacuations().stored())
    if (Known.count(Domain) == 0) {
      Unknown.insert(Domain);
      if (LoggedUnknown.count(Domain) == 0)
        logWarning("evacuation_domain_unknown", {{"domain", Domain}});
    }
  LoggedUnknown = std::move(Unknown);
}

void EvacuationSync::sendTo(const std::set<Address> &Receivers) {
  if (!State->evacuations().isKnown())
    return;
  wire::EvacuationState Message = State->evacuationMessage();
  for (const Address &Peer : Receivers)
    if (Peers->isConnected(Peer))
      Peers->sendMessage(Peer, FrameType::EvacuationState, Message);
}

} // namespace cyclamenwind
