// ColdStart: decides when a restarted process, which has no configuration, may
// serve.
//
// The previous process on this host may have served any version accepted by
// then. Serving starts at a version that is at least as high as one of:
// - the version that the platform returned for a read made after the start, by
//   this process or by a relay on its behalf;
// - if the platform did not answer, the highest version that any peer reported,
//   once at least 3 peers in at least 2 failure domains have reported one.
// Until then calls are rejected as not ready.

#ifndef CYCLAMENWIND_CONFIG_COLD_START_H
#define CYCLAMENWIND_CONFIG_COLD_START_H

#include "cyclamenwind/base/address.h"

#include <map>

namespace cyclamenwind {

class ColdStart {
public:
  // A read made after the start returned Version; 0: there is no document.
  void platformConfirmed(uint64_t Version);

  // The platform did not answer this process or a relay.
  void platformUnreachable() { PlatformUnreachable = true; }

  // Peer has applied Version; ignored if 0.
  void peerReported(const Address &Peer, const std::string &FailureDomain,
                    uint64_t Version);

  // Returns the lowest version that may be served. Returns nothing if it is not
  // known yet.
  std::optional<uint64_t> minVersion() const;

private:
  struct Report {
    std::string FailureDomain;
    uint64_t Version;
  };

  std::optional<uint64_t> ConfirmedVersion;
  bool PlatformUnreachable = false;
  std::map<Address, Report> Reports;
};

} // namespace cyclamenwind

#endif
