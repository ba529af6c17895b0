#include "cyclamenwind/mesh/rollout.h"

#include "cyclamenwind/base/names.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<RolloutState>, 3> StateNames = {{
    {RolloutState::Running, "running"},
    {RolloutState::Completed, "completed"},
    {RolloutState::RolledBack, "rolled_back"},
}};

// A step of the ramp. The first steps keep the new version below the share of
// requests that a bad version may get. The last step sends all requests to the
// new version before the old servers are stopped.
struct RampStep {
  double FromProgress; // Elapsed fraction of the order's time limit.
  double Share;        // Of the requests, sent to the new version.
};

constexpr std::array<RampStep, 5> Ramp = {{
    {0.0, 0.05},
    {0.12, 0.08},
    {0.42, 0.25},
    {0.54, 0.55},
    {0.66, 1.0},
}};

// From this progress on, a rollout that sends all requests to the new version
// is completed.
constexpr double CompleteFromProgress = 0.82;
// From this progress on, a rollout that does not yet send all requests to the
// new version is rolled back.
constexpr double RollBackFromProgress = 0.93;
// Requests in flight at the old servers finish within this time after the last
// step was recorded.
constexpr Duration DrainTime = 1500ms;

// Whether Known is further than Stored, a status of the same order that the
// platform holds after a restore; null if it holds none.
bool isAhead(const RolloutStatus &Known, const RolloutStatus *Stored) {
  if (Stored == nullptr)
    return true;
  if (Known.State != RolloutState::Running)
    return Stored->State != Known.State;
  return Stored->State == RolloutState::Running && Known.Share > Stored->Share;
}

double rampShare(double Progress) {
  double Share = 0;
  for (const RampStep &Step : Ramp)
    if (Progress >= Step.FromProgress)
      Share = Step.Share;
  return Share;
}

// Returns the servers that receive Share of the requests: so few that each
// carries the load that it would carry if all requests went to all of Servers.
// A fault that appears only under load thus shows while the share is small.
// Every daemon picks the same servers, since Servers is sorted by id.
std::vector<const MeshEndpoint *>
serversForShare(double Share, std::vector<const MeshEndpoint *> Servers) {
  auto Count = static_cast<size_t>(
      std::ceil(Share * static_cast<double>(Servers.size())));
  Servers.resize(std::clamp<size_t>(Count, 1, Servers.size()));
  return Servers;
}

// planRollout() without regard to StatusBehind.
std::optional<RolloutStatus> nextStatus(const Rollout &Current,
                                        const RolloutEvidence &Evidence,
                                        TimePoint Now) {
  const std::optional<RolloutStatus> &Recorded = Current.Recorded;
  if (Recorded && Recorded->State != RolloutState::Running)
    return std::nullopt;
  RolloutStatus Next;
  Next.TargetVersion = Current.Order.TargetVersion;
  Next.Elapsed = Now - Current.StartedAt;
  if (Evidence.Verdict == VersionVerdict::Bad || Current.TargetBlocked) {
    Next.State = RolloutState::RolledBack;
    return Next;
  }
  double Progress = std::chrono::duration<double>(Next.Elapsed) /
                    std::chrono::duration<double>(Current.Order.TimeLimit);
  double Share = Recorded ? Recorded->Share : 0;
  if (Progress >= RollBackFromProgress && Share < 1) {
    Next.State = RolloutState::RolledBack;
    return Next;
  }
  bool Drained = Recorded && Now - Current.RecordedAt >= DrainTime;
  if (Share >= 1 && Progress >= CompleteFromProgress && Drained) {
    Next.State = RolloutState::Completed;
    Next.Share = 1;
    return Next;
  }
  Next.Share =
      Evidence.ReadyServers == 0 ? Share : std::max(Share, rampShare(Progress));
  if (Recorded && Next.Share == Share)
    return std::nullopt;
  return Next;
}

} // namespace

std::string_view nameOf(RolloutState State) {
  return nameIn(StateNames, State);
}

std::optional<RolloutState> parseRolloutState(std::string_view Name) {
  return valueIn(StateNames, Name);
}

std::optional<RolloutStatus> planRollout(const Rollout &Current,
                                         const RolloutEvidence &Evidence,
                                         TimePoint Now) {
  std::optional<RolloutStatus> Next = nextStatus(Current, Evidence, Now);
  return Next || !Current.StatusBehind ? Next : Current.Recorded;
}

void RolloutTable::update(const RolloutOrder &Order,
                          const std::optional<RolloutStatus> &Recorded,
                          uint64_t Revision, TimePoint Now, uint64_t Epoch,
                          bool MayBeOfCopy) {
  Rollout &Entry = ByService[Order.Service];
  if (Epoch < Entry.Epoch ||
      (Epoch == Entry.Epoch && Revision <= Entry.Revision))
    return;
  bool Exists = Entry.Revision != 0;
  bool IsRestored = Exists && Epoch > Entry.Epoch;
  bool IsNewOrder = !Exists || Entry.Order.TargetVersion != Order.TargetVersion;
  if (IsRestored && IsNewOrder && MayBeOfCopy)
    return;
  bool StatusOfThisOrder =
      Recorded && Recorded->TargetVersion == Order.TargetVersion;
  if (IsNewOrder) {
    std::string CompletedVersion = Entry.PreviousVersion;
    if (Entry.Recorded && Entry.Recorded->State == RolloutState::Completed)
      CompletedVersion = Entry.Order.TargetVersion;
    else if (Recorded && !StatusOfThisOrder &&
             Recorded->State == RolloutState::Completed)
      CompletedVersion = Recorded->TargetVersion;
    Entry = Rollout();
    Entry.PreviousVersion = CompletedVersion;
    Entry.StartedAt =
        Now - (StatusOfThisOrder ? Recorded->Elapsed : Duration::zero());
  }
  Entry.Order = Order;
  Entry.Revision = Revision;
  Entry.Epoch = Epoch;
  if (!IsNewOrder && (IsRestored || Entry.StatusBehind)) {
    Entry.StatusBehind =
        Entry.Recorded &&
        isAhead(*Entry.Recorded, StatusOfThisOrder ? &*Recorded : nullptr);
    if (Entry.StatusBehind)
      return;
  }
  if (!StatusOfThisOrder)
    return;
  if (!Entry.Recorded || !(*Entry.Recorded == *Recorded))
    Entry.RecordedAt = Now;
  Entry.Recorded = Recorded;
}

void RolloutTable::remove(const std::string &Service) {
  ByService.erase(Service);
}

void RolloutTable::blockTarget(const std::string &Service) {
  auto Found = ByService.find(Service);
  if (Found != ByService.end())
    Found->second.TargetBlocked = true;
}

const Rollout *RolloutTable::find(const std::string &Service) const {
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? nullptr : &Found->second;
}

bool RolloutTable::allowed(const std::string &Service,
                           const std::string &Version) const {
  const Rollout *Current = find(Service);
  if (Current == nullptr || Version != Current->Order.TargetVersion)
    return true;
  bool Completed =
      Current->Recorded && Current->Recorded->State == RolloutState::Completed;
  if (Completed)
    return true;
  return !Current->TargetBlocked && Current->Recorded &&
         Current->Recorded->State == RolloutState::Running;
}

std::vector<const MeshEndpoint *>
RolloutTable::eligibleServers(const std::string &Service,
                              const std::vector<const MeshEndpoint *> &Ready,
                              Random &Rng) const {
  const Rollout *Current = find(Service);
  std::vector<const MeshEndpoint *> New;
  std::vector<const MeshEndpoint *> Old;
  if (Current == nullptr) {
    // Servers of a second version start before this daemon receives its order:
    // until then the version whose server started first gets all requests.
    auto First =
        std::min_element(Ready.begin(), Ready.end(),
                         [](const MeshEndpoint *A, const MeshEndpoint *B) {
                           return A->StartedAtMs < B->StartedAtMs;
                         });
    for (const MeshEndpoint *Endpoint : Ready)
      if (Endpoint->Version == (*First)->Version)
        Old.push_back(Endpoint);
    return Old;
  }
  for (const MeshEndpoint *Endpoint : Ready)
    (Endpoint->Version == Current->Order.TargetVersion ? New : Old)
        .push_back(Endpoint);
  if (!Current->Recorded || Current->TargetBlocked)
    return Old;
  switch (Current->Recorded->State) {
  case RolloutState::Completed:
    return New;
  case RolloutState::RolledBack:
    return Old;
  case RolloutState::Running:
    break;
  }
  if (New.empty())
    return Old;
  bool SendToNew = Rng.fraction() < Current->Recorded->Share;
  // Requests may fall back to the old version while its servers run, but not to
  // a new version that is still being tested.
  if (Old.empty())
    return Current->Recorded->Share >= 1 ? New : Old;
  return SendToNew ? serversForShare(Current->Recorded->Share, std::move(New))
                   : Old;
}

} // namespace cyclamenwind
