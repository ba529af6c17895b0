#include "cyclamenwind/config/relay_directory.h"

#include "cyclamenwind/store/lease.h"

#include <charconv>

#include <xxhash.h>

namespace cyclamenwind {
namespace {

std::optional<RelaySlot> parseRelaySlot(std::string_view Key) {
  if (!Key.starts_with(RelayPrefix))
    return std::nullopt;
  Key.remove_prefix(std::string_view(RelayPrefix).size());
  size_t Slash = Key.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  RelaySlot Slot;
  Slot.FailureDomain = Key.substr(0, Slash);
  const char *Last = Key.data() + Key.size();
  auto [Rest, Error] =
      std::from_chars(Key.data() + Slash + 1, Last, Slot.Number);
  if (Error != std::errc() || Rest != Last)
    return std::nullopt;
  return Slot;
}

} // namespace

std::string RelaySlot::key() const {
  return RelayPrefix + FailureDomain + "/" + std::to_string(Number);
}

void RelayDirectory::applyListing(const PlatformListing &Listing,
                                  TimePoint Now) {
  Listed = true;
  Relays.clear();
  for (const PlatformObject &Object : Listing.Objects) {
    std::optional<RelaySlot> Slot = parseRelaySlot(Object.Key);
    if (!Slot)
      continue;
    std::optional<Address> Holder =
        parseAddress(parseLeaseRecord(Object.Value).Holder);
    SlotState &State = Slots[*Slot];
    if (State.Version != Object.Version)
      State = {Object.Version, Now, false};
    State.Free = !Holder;
    if (Holder)
      Relays[*Holder] = Slot->FailureDomain;
  }
}

void RelayDirectory::assignEntries(
    const std::vector<wire::RelayEntry> &Entries) {
  Relays.clear();
  for (const wire::RelayEntry &Entry : Entries)
    if (std::optional<Address> Relay = parseAddress(Entry.peerAddress))
      Relays[*Relay] = Entry.domain;
}

void RelayDirectory::add(const std::string &FailureDomain,
                         const Address &Relay) {
  Relays[Relay] = FailureDomain;
}

std::vector<Address>
RelayDirectory::inDomain(const std::string &FailureDomain) const {
  std::vector<Address> List;
  for (const auto &[Relay, Domain] : Relays)
    if (Domain == FailureDomain)
      List.push_back(Relay);
  return List;
}

std::vector<Address>
RelayDirectory::outsideDomain(const std::string &FailureDomain) const {
  std::vector<Address> List;
  for (const auto &[Relay, Domain] : Relays)
    if (Domain != FailureDomain)
      List.push_back(Relay);
  return List;
}

std::vector<wire::RelayEntry> RelayDirectory::entries() const {
  std::vector<wire::RelayEntry> List;
  for (const auto &[Relay, Domain] : Relays) {
    wire::RelayEntry Entry;
    Entry.domain = Domain;
    Entry.peerAddress = Relay.text();
    List.push_back(std::move(Entry));
  }
  return List;
}

int64_t RelayDirectory::digest() const {
  std::string Text;
  for (const auto &[Relay, Domain] : Relays)
    Text += Domain + "=" + Relay.text() + "\n";
  return static_cast<int64_t>(XXH3_64bits(Text.data(), Text.size()));
}

bool RelayDirectory::isVacant(const RelaySlot &Slot, Duration Term,
                              TimePoint Now) const {
  if (!Listed)
    return false;
  auto Found = Slots.find(Slot);
  return Found == Slots.end() || Found->second.Free ||
         Now - Found->second.UnchangedSince >= Term;
}

} // namespace cyclamenwind
