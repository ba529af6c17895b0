// ColdStart: decides when a process that remembers nothing may serve.
//
// The process before it on this host may have served any version that was
// accepted by then. Serving begins at a version at least as high:
// - the one that the platform names in answer to a request made since the
//   start, by this process or by a relay on its behalf; or,
// - while the platform is away, the highest of several peers in more than one
//   failure domain.
// Until then calls are refused as not ready.

#ifndef CYCLAMENWIND_CONFIG_COLD_START_H
#define CYCLAMENWIND_CONFIG_COLD_START_H

#include "cyclamenwind/base/address.h"

#include <map>

namespace cyclamenwind {

class ColdStart {
public:
  // The platform's newest version since the start is Version; 0: none.
  void confirmed(uint64_t Version);

  // The platform did not answer this process or a relay.
  void platformAway() { Away = true; }

  // A peer has Version in force; ignored if 0.
  void peerAnswered(const Address &Peer, const std::string &FailureDomain,
                    uint64_t Version);

  // The least version that may be served; nothing while it is unknown.
  std::optional<uint64_t> leastVersion() const;

private:
  struct Answer {
    std::string FailureDomain;
    uint64_t Version;
  };

  std::optional<uint64_t> Confirmed;
  bool Away = false;
  std::map<Address, Answer> Answers;
};

} // namespace cyclamenwind

#endif
