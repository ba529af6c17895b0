// EndpointIndex: the backend servers of each service, updated with each changed
// member record.

#ifndef CYCLAMENWIND_MEMBERSHIP_ENDPOINTS_H
#define CYCLAMENWIND_MEMBERSHIP_ENDPOINTS_H

#include "cyclamenwind/membership/member_list.h"

namespace cyclamenwind {

// One backend server as seen by other daemons.
struct Endpoint {
  std::string MemberId;
  Address Peer;
  std::string FailureDomain;
  std::string Version;
  int Slots = 0;
  // The member is suspected to have failed; receives calls only if no other
  // endpoint remains.
  bool Suspected = false;
};

class EndpointIndex {
public:
  // Replaces the endpoints of Old by those of New, a record of the same member.
  // Old is null for a new member.
  void replace(const Member *Old, const Member &New);

  // Backend servers of Service that may receive calls, all versions, ordered by
  // member id.
  const std::vector<Endpoint> &endpointsOf(const std::string &Service) const;

private:
  void remove(const Member &Record);
  void add(const Member &Record);

  std::map<std::string, std::vector<Endpoint>> ByService;
};

} // namespace cyclamenwind

#endif
