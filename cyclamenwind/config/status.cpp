#include "cyclamenwind/config/status.h"

namespace cyclamenwind {
namespace {

using nlohmann::json;

json jsonOf(const wire::DomainStanding &Sum) {
  json Counts = json::object();
  for (const auto &[Version, Count] : Sum.counts)
    Counts[std::to_string(Version)] = Count;
  json Laggards = json::array();
  for (const wire::Laggard &Each : Sum.laggards)
    Laggards.push_back({{"member", Each.member},
                        {"version", Each.version},
                        {"lag_ms", Each.lagMs},
                        {"rejected", Each.rejected}});
  return {{"failure_domain", Sum.domain}, {"counts", Counts},
          {"unknown", Sum.unknown},       {"rejecting", Sum.rejecting},
          {"age_ms", Sum.ageMs},          {"laggards", Laggards}};
}

} // namespace

json fleetVersionsJson(const ConfigDistribution &Shown,
                       const MemberList &Members, TimePoint Now) {
  std::vector<wire::DomainStanding> Sums = Shown.standing(Now);
  json List = json::array();
  size_t Unknown = 0;
  for (const wire::DomainStanding &Each : Sums) {
    List.push_back(jsonOf(Each));
    Unknown += static_cast<size_t>(std::max(0, Each.unknown));
  }
  size_t Uncovered = addUp(Sums, Members).Unknown - Unknown;
  if (Uncovered > 0)
    List.push_back({{"failure_domain", ""}, {"unknown", Uncovered}});
  return List;
}

json controlJson(const PeerTransport &Peers) {
  constexpr int LastType = 255;
  FrameCount Total;
  for (int Type = 0; Type <= LastType; ++Type) {
    auto Counted = static_cast<FrameType>(Type);
    bool Call = Counted == FrameType::CallRequest ||
                Counted == FrameType::CallReply ||
                Counted == FrameType::CallCancel;
    if (Call)
      continue;
    Total.Frames += Peers.sent(Counted).Frames;
    Total.Bytes += Peers.sent(Counted).Bytes;
  }
  return {{"frames", Total.Frames}, {"bytes", Total.Bytes}};
}

json distributionJson(const ConfigDistribution &Shown, TimePoint Now) {
  return {{"relay", Shown.isRelay(Now)},
          {"starting", !Shown.open()},
          {"rejected", Shown.rejected()}};
}

} // namespace cyclamenwind
