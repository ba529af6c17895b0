#include "cyclamenwind/mesh/rollout_controller.h"

#include "cyclamenwind/base/log.h"

#include <algorithm>

#include <xxhash.h>

namespace cyclamenwind {
namespace {

constexpr Duration TickPeriod = 200ms;
// How much longer each daemon waits than the one before it in the order.
constexpr Duration RankDelay = 600ms;
constexpr size_t MaxRank = 4;
// A write that was not confirmed is tried again after this.
constexpr Duration WriteRetry = 500ms;

bool isRunning(const Rollout &Present) {
  return !Present.Recorded || Present.Recorded->State == RolloutState::Running;
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
  bool Any = std::any_of(
      State->rollouts().all().begin(), State->rollouts().all().end(),
      [](const auto &Entry) { return isRunning(Entry.second); });
  if (!Any)
    return;
  shareOutcomes();
  OutcomeTable Table = combined();
  TimePoint Now = Time->now();
  std::vector<Rollout> Running;
  for (const auto &[Service, Each] : State->rollouts().all())
    if (isRunning(Each))
      Running.push_back(Each);
  for (const Rollout &Each : Running)
    consider(Each, Table, Now);
}

void RolloutController::shareOutcomes() {
  wire::VersionEvidence Message;
  Message.instance = Instance;
  int64_t Answers = 0;
  for (const auto &[Key, Counts] : Inbound->outcomes().table()) {
    const Rollout *Present = State->rollouts().find(Key.Service);
    if (Present == nullptr || !isRunning(*Present))
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
  if (Answers == SharedAnswers)
    return;
  SharedAnswers = Answers;
  std::string Payload = encodeMessage(Message);
  for (const Address &Each : State->directory().daemonAddresses())
    if (Each != Peers->self())
      Peers->send(Each, FrameType::VersionEvidence, Payload);
}

void RolloutController::receiveEvidence(const Address &From,
                                        std::string_view Payload) {
  Result<wire::VersionEvidence, FrameError> Message =
      decodeMessage<wire::VersionEvidence>(Payload);
  if (!Message) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  Report &Entry = Reports[From];
  Entry.Instance = Message.value().instance;
  Entry.Table.clear();
  for (const wire::VersionOutcome &Each : Message.value().outcomes)
    Entry.Table[{Each.serviceName, Each.serverVersion, Each.route}] = {
        Each.answers, Each.failures, Each.totalUs};
}

OutcomeTable RolloutController::combined() const {
  OutcomeTable Sum = Inbound->outcomes().table();
  for (const auto &[From, Each] : Reports)
    for (const auto &[Key, Counts] : Each.Table)
      Sum[Key].add(Counts);
  return Sum;
}

void RolloutController::consider(const Rollout &Present,
                                 const OutcomeTable &Table, TimePoint Now) {
  const std::string &Service = Present.Order.Service;
  RolloutEvidence Evidence;
  Evidence.Verdict = judgeVersion(Table, Service, Present.Order.TargetVersion);
  for (const MeshEndpoint *Each : State->directory().ready(Service))
    ++(Each->Version == Present.Order.TargetVersion ? Evidence.ReadyServers
                                                    : Evidence.PreviousServers);
  if (Evidence.Verdict == VersionVerdict::Bad && !Present.Suspended) {
    logWarning("version_bad", {{"service", Service},
                               {"version", Present.Order.TargetVersion}});
    State->rollouts().suspend(Service);
  }
  std::optional<RolloutStatus> Next = planRollout(Present, Evidence, Now);
  if (!Next) {
    DueSince.erase(Service);
    return;
  }
  TimePoint Due = DueSince.emplace(Service, Now).first->second;
  if (Now - Due < RankDelay * static_cast<int64_t>(rank(Service)) ||
      Now - LastWrite[Service] < WriteRetry)
    return;
  LastWrite[Service] = Now;
  DueSince.erase(Service);
  Store->writeRollout(Service, *Next);
}

// This daemon's place in the order for Service, of those that are reached.
size_t RolloutController::rank(const std::string &Service) const {
  auto Weight = [&Service](const Address &Daemon) {
    std::string Text = Service + "@" + Daemon.text();
    return XXH3_64bits(Text.data(), Text.size());
  };
  uint64_t Own = Weight(Peers->self());
  size_t Before = 0;
  for (const Address &Each : State->directory().daemonAddresses())
    if (Each != Peers->self() && Peers->isConnected(Each) && Weight(Each) < Own)
      ++Before;
  return std::min(Before, MaxRank);
}

} // namespace cyclamenwind
