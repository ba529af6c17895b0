// Directory: the backend servers of all hosts, as this daemon knows them.
//
// Records come from the platform's store, from peers and from the servers
// beside this daemon, in any order and more than once; the later one of an
// incarnation wins. A new incarnation at a server's address replaces the old
// one. Records of servers that left stay until they are removed, so that a
// delayed record of the same incarnation does not bring them back. That a
// server is Unreachable counts only from the daemon beside it. Pure.

#ifndef CYCLAMENWIND_MESH_ENDPOINT_DIRECTORY_H
#define CYCLAMENWIND_MESH_ENDPOINT_DIRECTORY_H

#include "cyclamenwind/mesh/endpoint.h"

#include <functional>
#include <map>
#include <vector>

namespace cyclamenwind {

class EndpointDirectory {
public:
  // Takes a record; says whether it changed anything.
  bool merge(const MeshEndpoint &Record);

  // The same for a record that the daemon beside the server sent itself. That
  // daemon alone knows whether it is Unreachable or back, so its later word
  // counts at any sequence number of the server.
  bool mergeFromOwner(const MeshEndpoint &Record);

  // Forgets the server called Id.
  void remove(const std::string &Id);

  // The server called Id; null if it is not known.
  const MeshEndpoint *find(const std::string &Id) const;

  // All servers of Service that are Ready.
  std::vector<const MeshEndpoint *> ready(const std::string &Service) const;

  // Those that requests may be sent to: the Ready ones, or if there is none the
  // Unreachable ones. A daemon that stops goes on serving for a while.
  std::vector<const MeshEndpoint *> usable(const std::string &Service) const;

  const std::map<std::string, MeshEndpoint> &all() const { return Endpoints; }

  // The addresses of all daemons that a live record names.
  std::vector<Address> daemonAddresses() const;

private:
  bool take(const MeshEndpoint &Record);
  std::vector<const MeshEndpoint *> inState(const std::string &Service,
                                            EndpointState State) const;

  std::map<std::string, MeshEndpoint> Endpoints;
};

} // namespace cyclamenwind

#endif
