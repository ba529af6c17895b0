#include "cyclamenwind/rollouts/codec.h"

namespace cyclamenwind {
namespace {

wire::EvidenceItem toWireItem(const EvidenceKey &Key,
                              const SideCounts &Counts) {
  wire::EvidenceItem Item;
  Item.route = Key.Route;
  Item.onNew = Key.OnNew;
  Item.server = Key.Server;
  Item.calls = static_cast<int64_t>(Counts.Calls);
  Item.errors = static_cast<int64_t>(Counts.Errors);
  for (size_t I = 0; I < LatencyHistogram::BucketCount; ++I) {
    if (Counts.Latencies.count(I) == 0)
      continue;
    Item.latencies.push_back(static_cast<int32_t>(I));
    Item.latencies.push_back(static_cast<int32_t>(Counts.Latencies.count(I)));
  }
  return Item;
}

// Returns nothing if a count is negative, if there are more errors or latencies
// than calls, or if a bucket is out of range.
std::optional<SideCounts> fromWireItem(const wire::EvidenceItem &Item) {
  if (Item.calls < 0 || Item.errors < 0 || Item.errors > Item.calls)
    return std::nullopt;
  SideCounts Counts;
  Counts.Calls = static_cast<uint64_t>(Item.calls);
  Counts.Errors = static_cast<uint64_t>(Item.errors);
  for (size_t I = 0; I + 1 < Item.latencies.size(); I += 2) {
    int32_t Bucket = Item.latencies[I];
    int32_t Count = Item.latencies[I + 1];
    if (Bucket < 0 || Count < 0 ||
        Bucket >= static_cast<int32_t>(LatencyHistogram::BucketCount))
      return std::nullopt;
    Counts.Latencies.add(static_cast<size_t>(Bucket),
                         static_cast<uint64_t>(Count));
  }
  if (Counts.Latencies.total() > Counts.Calls)
    return std::nullopt;
  return Counts;
}

} // namespace

std::vector<wire::EvidenceItem> toWire(const Evidence &Observed) {
  std::vector<wire::EvidenceItem> Items;
  for (const auto &[Key, Counts] : Observed)
    Items.push_back(toWireItem(Key, Counts));
  return Items;
}

Evidence fromWire(const std::vector<wire::EvidenceItem> &Items) {
  Evidence Observed;
  for (const wire::EvidenceItem &Item : Items)
    if (std::optional<SideCounts> Counts = fromWireItem(Item))
      Observed[{Item.route, Item.onNew, Item.server}].add(*Counts);
  return Observed;
}

wire::MoveStop toWire(const std::string &Name, const RolloutFault &Fault) {
  wire::MoveStop Stop;
  Stop.name = Name;
  Stop.reason = nameOf(Fault.Reason);
  Stop.detail = Fault.Detail;
  return Stop;
}

std::optional<RolloutFault> fromWire(const wire::MoveStop &Stop) {
  std::optional<RolloutReason> Reason = parseRolloutReason(Stop.reason);
  if (!Reason || Stop.name.empty())
    return std::nullopt;
  return RolloutFault{*Reason, Stop.detail};
}

} // namespace cyclamenwind
