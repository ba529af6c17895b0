#include "cyclamenwind/config/status.h"

namespace cyclamenwind {
namespace {

using nlohmann::json;

json jsonOf(const wire::DomainStanding &Summary) {
  json Counts = json::object();
  for (const auto &[Version, Count] : Summary.counts)
    Counts[std::to_string(Version)] = Count;
  json Laggards = json::array();
  for (const wire::Laggard &Behind : Summary.laggards)
    Laggards.push_back({{"member", Behind.member},
                        {"version", Behind.version},
                        {"lag_ms", Behind.lagMs},
                        {"rejected", Behind.rejected}});
  return {{"failure_domain", Summary.domain}, {"counts", Counts},
          {"unknown", Summary.unknown},       {"rejecting", Summary.rejecting},
          {"age_ms", Summary.ageMs},          {"laggards", Laggards}};
}

} // namespace

json fleetVersionsJson(const ConfigDistribution &Distribution,
                       const MemberList &Members, TimePoint Now) {
  std::vector<wire::DomainStanding> Summaries = Distribution.fleetVersions(Now);
  json List = json::array();
  size_t Unknown = 0;
  for (const wire::DomainStanding &Summary : Summaries) {
    List.push_back(jsonOf(Summary));
    Unknown += static_cast<size_t>(std::max(0, Summary.unknown));
  }
  size_t Uncovered = countFleetVersions(Summaries, Members).Unknown - Unknown;
  if (Uncovered > 0)
    List.push_back({{"failure_domain", ""}, {"unknown", Uncovered}});
  return List;
}

json controlJson(const PeerTransport &Peers) {
  constexpr int LastType = 255;
  FrameCount Total;
  for (int Type = 0; Type <= LastType; ++Type) {
    auto ThisType = static_cast<FrameType>(Type);
    bool IsCall = ThisType == FrameType::CallRequest ||
                  ThisType == FrameType::CallReply ||
                  ThisType == FrameType::CallCancel;
    if (IsCall)
      continue;
    Total.Frames += Peers.sent(ThisType).Frames;
    Total.Bytes += Peers.sent(ThisType).Bytes;
  }
  return {{"frames", Total.Frames}, {"bytes", Total.Bytes}};
}

json distributionJson(const ConfigDistribution &Distribution, TimePoint Now) {
  return {{"relay", Distribution.isRelay(Now)},
          {"starting", !Distribution.startComplete()},
          {"rejected", Distribution.rejectedVersion()}};
}

} // namespace cyclamenwind
