#include "cyclamenwind/mesh/rollout_controller.h"

#include "cyclamenwind/base/log.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenwind {
namespace {

constexpr Duration TickPeriod = 200ms;
// How much longer each daemon waits than the one that precedes it in rank().
constexpr Duration RankDelay = 600ms;
constexpr size_t MaxRank = 4;
// Least time between two writes; an unconfirmed write is retried after it.
constexpr Duration WriteRetryDelay = 500ms;

// Whether there is a status to decide or to write again.
bool isRunning(const Rollout &Current) {
  return !Current.Recorded || Current.StatusBehind ||
         Current.Recorded->State == RolloutState::Running;
}

} // namespace

void RolloutController::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Peers = &TheKernel.find<PeerTransport>("peers");
  Inbound = &TheKernel.find<InboundProxy>("gate");
  State = &TheKernel.find<MeshState>("mesh_state");
  Store = &TheKernel.find<StoreSync>("store_sync");
  Instance = static_cast<int64_t>(TheKernel.random().next() >> 1);
  Peers->handle(FrameType::VersionEvidence,
                [this](const Address &From, std::string_view Payload) {
                  receiveEvidence(From, Payload);
                });
  Ticker = TheKernel.scheduler().every(TickPeriod, [this] { tick(); });
}

void RolloutController::tick() {
  bool AnyRunning = std::any_of(
      State->rollouts().all().begin(), State->rollouts().all().end(),
      [](const auto &Entry) { return isRunning(Entry.second); });
  if (!AnyRunning)
    return;
  sendOutcomes();
  OutcomeTable Table = combinedOutcomes();
  TimePoint Now = Time->now();
  std::vector<Rollout> Running;
  for (const auto &[Service, Entry] : State->rollouts().all())
    if (isRunning(Entry))
      Running.push_back(Entry);
  for (const Rollout &Current : Running)
    advance(Current, Table, Now);
}

void RolloutController::sendOutcomes() {
  wire::VersionEvidence Message;
  Message.instance = Instance;
  int64_t Answers = 0;
  for (const auto &[Key, Counts] : Inbound->outcomes().table()) {
    const Rollout *Current = State->rollouts().find(Key.Service);
    if (Current == nullptr || !isRunning(*Current))
      continue;
    wire::VersionOutcome &Added = Message.outcomes.emplace_back();
    Added.serviceName = Key.Service;
    Added.serverVersion = Key.Version;
    Added.route = Key.Route;
    Added.answers = Counts.Answers;
    Added.failures = Counts.Failures;
    Added.totalUs = Counts.TotalUs;
    Answers += Counts.Answers;
  }
  if (Answers == SentAnswers)
    return;
  SentAnswers = Answers;
  std::string Payload = encodeMessage(Message);
  for (const Address &Peer : State->directory().daemonAddresses())
    if (Peer != Peers->self())
      Peers->send(Peer, FrameType::VersionEvidence, Payload);
}

void RolloutController::receiveEvidence(const Address &From,
                                        std::string_view Payload) {
  Result<wire::VersionEvidence, FrameError> Message =
      decodeMessage<wire::VersionEvidence>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  PeerOutcomes &Entry = Reports[From];
  Entry.Instance = Message.value().instance;
  Entry.Table.clear();
  for (const wire::VersionOutcome &Outcome : Message.value().outcomes)
    Entry.Table[{Outcome.serviceName, Outcome.serverVersion, Outcome.route}] = {
        Outcome.answers, Outcome.failures, Outcome.totalUs};
}

OutcomeTable RolloutController::combinedOutcomes() const {
  OutcomeTable Sum = Inbound->outcomes().table();
  for (const auto &[From, Reported] : Reports)
    for (const auto &[Key, Counts] : Reported.Table)
      Sum[Key].add(Counts);
  return Sum;
}

void RolloutController::advance(const Rollout &Current,
                                const OutcomeTable &Table, TimePoint Now) {
  const std::string &Service = Current.Order.Service;
  RolloutEvidence Evidence;
  Evidence.Verdict =
      analyzeVersion(Table, Service, Current.Order.TargetVersion);
  for (const MeshEndpoint *Endpoint : State->directory().ready(Service))
    ++(Endpoint->Version == Current.Order.TargetVersion
           ? Evidence.ReadyServers
           : Evidence.PreviousServers);
  // A rollout that is decided is only written again: its evidence went on, and
  // must not block the version that all requests go to.
  bool IsDecided =
      Current.Recorded && Current.Recorded->State != RolloutState::Running;
  if (Evidence.Verdict == VersionVerdict::Bad && !Current.TargetBlocked &&
      !IsDecided) {
    logWarning("version_bad", {{"service", Service},
                               {"version", Current.Order.TargetVersion}});
    State->rollouts().blockTarget(Service);
  }
  std::optional<RolloutStatus> Next = planRollout(Current, Evidence, Now);
  if (!Next) {
    DueSince.erase(Service);
    return;
  }
  TimePoint Due = DueSince.emplace(Service, Now).first->second;
  if (Now - Due < RankDelay * static_cast<int64_t>(rank(Service)) ||
      Now - LastWrite[Service] < WriteRetryDelay)
    return;
  LastWrite[Service] = Now;
  DueSince.erase(Service);
  Store->writeRollout(Service, *Next);
}

// Number of connected daemons that precede this one in the order for Service,
// at most MaxRank.
size_t RolloutController::rank(const std::string &Service) const {
  auto Weight = [&Service](const Address &Daemon) {
    std::string Text = Service + "@" + Daemon.text();
    return XXH3_64bits(Text.data(), Text.size());
  };
  uint64_t OwnWeight = Weight(Peers->self());
  size_t Preceding = 0;
  for (const Address &Peer : State->directory().daemonAddresses())
    if (Peer != Peers->self() && Peers->isConnected(Peer) &&
        Weight(Peer) < OwnWeight)
      ++Preceding;
  return std::min(Preceding, MaxRank);
}

} // namespace cyclamenwind
