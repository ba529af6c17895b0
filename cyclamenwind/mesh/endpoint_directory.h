// EndpointDirectory: records of the backend servers of all hosts.
//
// Records come from the platform's store, from peers and from the local backend
// servers, in any order and possibly more than once; the newest record of an
// incarnation wins. A new incarnation at a server's address replaces the old
// one. The record of a server that left stays until it is removed, so that a
// delayed record of the same incarnation does not bring the server back. A
// Ready server becomes Unreachable only by a record from its own daemon. Does
// no I/O and reads no clock.

#ifndef CYCLAMENWIND_MESH_ENDPOINT_DIRECTORY_H
#define CYCLAMENWIND_MESH_ENDPOINT_DIRECTORY_H

#include "cyclamenwind/mesh/endpoint.h"

#include <functional>
#include <map>
#include <vector>

namespace cyclamenwind {

class EndpointDirectory {
public:
  // Merges Record; returns whether anything changed.
  bool merge(const MeshEndpoint &Record);

  // The same for a record sent by the server's own daemon. Only that daemon
  // knows whether the server is Unreachable or reachable again, so its Ready
  // record ends the state Unreachable whatever the sequence number is.
  bool mergeFromOwner(const MeshEndpoint &Record);

  // Removes the record of the server with this Id.
  void remove(const std::string &Id);

  // The record of the server with this Id; null if there is none.
  const MeshEndpoint *find(const std::string &Id) const;

  // The Ready servers of Service.
  std::vector<const MeshEndpoint *> ready(const std::string &Service) const;

  // The servers of Service that requests may be sent to: the Ready ones, or the
  // Unreachable ones if none is Ready, because a stopping daemon still serves
  // requests until it exits.
  std::vector<const MeshEndpoint *> usable(const std::string &Service) const;

  const std::map<std::string, MeshEndpoint> &all() const { return Endpoints; }

  // The addresses of all daemons of servers that are not Gone.
  std::vector<Address> daemonAddresses() const;

private:
  bool insert(const MeshEndpoint &Record);
  std::vector<const MeshEndpoint *> inState(const std::string &Service,
                                            EndpointState State) const;

  std::map<std::string, MeshEndpoint> Endpoints;
};

} // namespace cyclamenwind

#endif
