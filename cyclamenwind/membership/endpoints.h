// EndpointIndex: the backend servers of each service, kept up to date record by
// record.

#ifndef CYCLAMENWIND_MEMBERSHIP_ENDPOINTS_H
#define CYCLAMENWIND_MEMBERSHIP_ENDPOINTS_H

#include "cyclamenwind/membership/member_list.h"

namespace cyclamenwind {

// One backend server as other daemons see it.
struct Endpoint {
  std::string MemberId;
  Address Peer;
  std::string FailureDomain;
  std::string Version;
  int Slots = 0;
  // The member is suspected to have failed; used only if no other is left.
  bool Suspected = false;
};

class EndpointIndex {
public:
  // A member's record has changed; Old is null for a new member.
  void replace(const Member *Old, const Member &New);

  // Backend servers of Service that may receive calls, all versions, ordered
  // by member.
  const std::vector<Endpoint> &of(const std::string &Service) const;

private:
  void remove(const Member &Record);
  void add(const Member &Record);

  std::map<std::string, std::vector<Endpoint>> ByService;
};

} // namespace cyclamenwind

#endif
