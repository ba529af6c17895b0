// RelayDirectory: which daemons are relays, as the lease objects name them.
//
// The lease of each slot is an object "relay/DOMAIN/SLOT" that names the
// holder's address for peers.

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
  // Takes in a listing of RelayPrefix.
  void listed(const PlatformListing &Listing, TimePoint Now);

  // Takes in what another relay knows.
  void told(const std::vector<wire::RelayEntry> &Entries);

  // Adds one relay.
  void add(const std::string &FailureDomain, const Address &Relay);

  void remove(const Address &Relay) { Relays.erase(Relay); }

  const std::map<Address, std::string> &relays() const { return Relays; }
  std::vector<Address> inDomain(const std::string &FailureDomain) const;
  std::vector<Address> elsewhere(const std::string &FailureDomain) const;
  std::vector<wire::RelayEntry> entries() const;
  int64_t digest() const;

  // Whether a listing has shown the slot free, or unchanged for Term.
  bool vacant(const RelaySlot &Slot, Duration Term, TimePoint Now) const;

private:
  struct SlotState {
    uint64_t Version = 0;
    TimePoint Since;
    bool Free = false;
  };

  std::map<Address, std::string> Relays; // Failure domain by address.
  std::map<RelaySlot, SlotState> Slots;
  bool Listed = false;
};

} // namespace cyclamenwind

#endif
