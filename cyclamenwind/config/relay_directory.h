// RelayDirectory: the addresses of the relays, from the lease objects or from
// other daemons.
//
// The lease of each slot is an object "relay/DOMAIN/SLOT" that holds the peer
// address of the lease holder.

#ifndef CYCLAMENWIND_CONFIG_RELAY_DIRECTORY_H
#define CYCLAMENWIND_CONFIG_RELAY_DIRECTORY_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/store/client.h"
#include "cyclamenwind/wire/gen-cpp/config_types.h"

#include <map>

namespace cyclamenwind {

inline constexpr char RelayPrefix[] = "relay/";

struct RelaySlot {
  std::string FailureDomain;
  int Number = 0;

  bool operator<(const RelaySlot &Other) const {
    return std::tie(FailureDomain, Number) <
           std::tie(Other.FailureDomain, Other.Number);
  }
  std::string key() const;
};

class RelayDirectory {
public:
  // Replaces the relays by those of a listing of RelayPrefix.
  void applyListing(const PlatformListing &Listing, TimePoint Now);

  // Replaces the relays by those that another daemon sent.
  void assignEntries(const std::vector<wire::RelayEntry> &Entries);

  void add(const std::string &FailureDomain, const Address &Relay);

  void remove(const Address &Relay) { Relays.erase(Relay); }

  const std::map<Address, std::string> &relays() const { return Relays; }
  std::vector<Address> inDomain(const std::string &FailureDomain) const;
  std::vector<Address> outsideDomain(const std::string &FailureDomain) const;
  std::vector<wire::RelayEntry> entries() const;
  int64_t digest() const;

  // Whether the slot has no object or no holder, or its object has not changed
  // for Term, by the listings received; false before the first listing.
  bool isVacant(const RelaySlot &Slot, Duration Term, TimePoint Now) const;

private:
  struct SlotState {
    uint64_t Version = 0;
    TimePoint UnchangedSince;
    bool Free = false;
  };

  std::map<Address, std::string> Relays; // Failure domain by address.
  std::map<RelaySlot, SlotState> Slots;
  bool Listed = false;
};

} // namespace cyclamenwind

#endif
