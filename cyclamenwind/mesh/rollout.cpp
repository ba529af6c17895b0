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

// A step of the ramp: from this part of the time on, this share of the requests
// goes to the new version. The first steps stay below the share that a bad
// version may get; the last one holds while everything goes to the new version,
// before the old servers are stopped.
struct RampStep {
  double From; // Of the order's time.
  double Share;
};

constexpr std::array<RampStep, 5> Ramp = {{
    {0.0, 0.05},
    {0.12, 0.08},
    {0.42, 0.25},
    {0.54, 0.55},
    {0.66, 1.0},
}};

// Reached with all requests at the new version, the rollout is completed.
constexpr double CompleteFrom = 0.82;
// From here on without a verdict the rollout is taken back.
constexpr double GiveUpFrom = 0.93;
// Requests under way at the old servers end within this time.
constexpr Duration SettleTime = 1500ms;

double rampShare(double Progress) {
  double Share = 0;
  for (const RampStep &Each : Ramp)
    if (Progress >= Each.From)
      Share = Each.Share;
  return Share;
}

// The servers that Share of the requests goes to: as many as that share of all
// requests loads like all requests load all of Servers, so that a fault under
// load shows while the share is small. The same on every daemon, since Servers
// are in the order of their ids.
std::vector<const MeshEndpoint *>
serversFor(double Share, std::vector<const MeshEndpoint *> Servers) {
  auto Count = static_cast<size_t>(
      std::ceil(Share * static_cast<double>(Servers.size())));
  Servers.resize(std::clamp<size_t>(Count, 1, Servers.size()));
  return Servers;
}

} // namespace

std::string_view nameOf(RolloutState State) {
  return nameIn(StateNames, State);
}

std::optional<RolloutState> parseRolloutState(std::string_view Name) {
  return valueIn(StateNames, Name);
}

std::optional<RolloutStatus> planRollout(const Rollout &Present,
                                         const RolloutEvidence &Evidence,
                                         TimePoint Now) {
  const std::optional<RolloutStatus> &Recorded = Present.Recorded;
  if (Recorded && Recorded->State != RolloutState::Running)
    return std::nullopt;
  RolloutStatus Next;
  Next.TargetVersion = Present.Order.TargetVersion;
  Next.Elapsed = Now - Present.Begun;
  if (Evidence.Verdict == VersionVerdict::Bad || Present.Suspended) {
    Next.State = RolloutState::RolledBack;
    return Next;
  }
  double Progress = std::chrono::duration<double>(Next.Elapsed) /
                    std::chrono::duration<double>(Present.Order.Within);
  double Share = Recorded ? Recorded->Share : 0;
  if (Progress >= GiveUpFrom && Share < 1) {
    Next.State = RolloutState::RolledBack;
    return Next;
  }
  bool Settled = Recorded && Now - Present.RecordedAt >= SettleTime;
  if (Share >= 1 && Progress >= CompleteFrom && Settled) {
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

void RolloutTable::update(const RolloutOrder &Order,
                          const std::optional<RolloutStatus> &Recorded,
                          uint64_t Revision, TimePoint Now) {
  Rollout &Entry = ByService[Order.Service];
  if (Revision <= Entry.Revision)
    return;
  bool IsNew =
      Entry.Revision == 0 || Entry.Order.TargetVersion != Order.TargetVersion;
  bool OfThisOrder = Recorded && Recorded->TargetVersion == Order.TargetVersion;
  if (IsNew) {
    std::string Previous = Entry.PreviousVersion;
    if (Entry.Recorded && Entry.Recorded->State == RolloutState::Completed)
      Previous = Entry.Order.TargetVersion;
    else if (Recorded && !OfThisOrder &&
             Recorded->State == RolloutState::Completed)
      Previous = Recorded->TargetVersion;
    Entry = Rollout();
    Entry.PreviousVersion = Previous;
    Entry.Begun = Now - (OfThisOrder ? Recorded->Elapsed : Duration::zero());
  }
  Entry.Order = Order;
  Entry.Revision = Revision;
  if (!OfThisOrder)
    return;
  if (!Entry.Recorded || !(*Entry.Recorded == *Recorded))
    Entry.RecordedAt = Now;
  Entry.Recorded = Recorded;
}

void RolloutTable::remove(const std::string &Service) {
  ByService.erase(Service);
}

void RolloutTable::suspend(const std::string &Service) {
  auto Found = ByService.find(Service);
  if (Found != ByService.end())
    Found->second.Suspended = true;
}

const Rollout *RolloutTable::find(const std::string &Service) const {
  auto Found = ByService.find(Service);
  return Found == ByService.end() ? nullptr : &Found->second;
}

bool RolloutTable::allowed(const std::string &Service,
                           const std::string &Version) const {
  const Rollout *Present = find(Service);
  if (Present == nullptr || Version != Present->Order.TargetVersion)
    return true;
  bool Completed =
      Present->Recorded && Present->Recorded->State == RolloutState::Completed;
  if (Completed)
    return true;
  return !Present->Suspended && Present->Recorded &&
         Present->Recorded->State == RolloutState::Running;
}

std::vector<const MeshEndpoint *>
RolloutTable::eligible(const std::string &Service,
                       const std::vector<const MeshEndpoint *> &Ready,
                       Random &Rng) const {
  const Rollout *Present = find(Service);
  std::vector<const MeshEndpoint *> New;
  std::vector<const MeshEndpoint *> Old;
  if (Present == nullptr) {
    // Servers of a second version are started before its order is known here:
    // until then the version that was there first gets all requests.
    auto First =
        std::min_element(Ready.begin(), Ready.end(),
                         [](const MeshEndpoint *A, const MeshEndpoint *B) {
                           return A->Born < B->Born;
                         });
    for (const MeshEndpoint *Each : Ready)
      if (Each->Version == (*First)->Version)
        Old.push_back(Each);
    return Old;
  }
  for (const MeshEndpoint *Each : Ready)
    (Each->Version == Present->Order.TargetVersion ? New : Old).push_back(Each);
  if (!Present->Recorded || Present->Suspended)
    return Old;
  switch (Present->Recorded->State) {
  case RolloutState::Completed:
    return New;
  case RolloutState::RolledBack:
    return Old;
  case RolloutState::Running:
    break;
  }
  if (New.empty())
    return Old;
  bool ToNew = Rng.fraction() < Present->Recorded->Share;
  // Old servers are a way out while they run; a version under test is not.
  if (Old.empty())
    return Present->Recorded->Share >= 1 ? New : Old;
  return ToNew ? serversFor(Present->Recorded->Share, std::move(New)) : Old;
}

} // namespace cyclamenwind
