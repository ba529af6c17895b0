// EndpointDirectory: records of the backend servers of all hosts.
//
// Records come from the platform's store, from peers and from the local backend
// servers, in any order and possibly more than once; the newest record of an
// incarnation wins. A new incarnation at a server's address replaces the old
// one, which is Gone from then on. The record of a server that left stays until
// it is removed, so that a delayed record of the same incarnation does not
// bring the server back. A Ready server becomes Unreachable only by a record
// from its own daemon.
//
// Other writers may report or store records too. A record of a service that the
// configuration does not name is kept, because its service may be named later
// and because it tells of a daemon, but it replaces no other server, neither at
// its address nor under its id. A replacement that was made before the
// configuration was known, or by a service that it no longer names, ends with
// the next setServices(). Does no I/O and reads no clock.

#ifndef CYCLAMENWIND_MESH_ENDPOINT_DIRECTORY_H
#define CYCLAMENWIND_MESH_ENDPOINT_DIRECTORY_H

#include "cyclamenwind/mesh/endpoint.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenwind {

class EndpointDirectory {
public:
  // A server was replaced by another one at its address, or no longer is.
  struct Replacement {
    std::string Id;
    std::string Successor; // Id of the other one; empty if no longer replaced.
  };

  // Sets the services that the configuration names. Before the first call, the
  // records of all services count alike.
  void setServices(std::set<std::string> Names);

  // Whether the configuration names Service; true before it is known.
  bool isNamed(const std::string &Service) const {
    return !ServicesKnown || Services.count(Service) != 0;
  }

  // Whether Record is to be used in place of Existing, a record of the same id:
  // it is newer, and no record of a service that is not named takes the id of a
  // server of another service.
  bool supersedes(const MeshEndpoint &Record,
                  const MeshEndpoint &Existing) const;

  // Merges Record; returns whether anything changed.
  bool merge(const MeshEndpoint &Record);

  // The same for a record sent by the server's own daemon. Only that daemon
  // knows whether the server is Unreachable or reachable again, so its Ready
  // record ends the state Unreachable whatever the sequence number is.
  bool mergeFromOwner(const MeshEndpoint &Record);

  // Removes the record of the server with this Id.
  void remove(const std::string &Id);

  // The record of the server with this Id, Gone if the server was replaced;
  // null if there is none.
  const MeshEndpoint *find(const std::string &Id) const;

  // The Ready servers of Service.
  std::vector<const MeshEndpoint *> ready(const std::string &Service) const;

  // The servers of Service that requests may be sent to: the Ready ones, or the
  // Unreachable ones if none is Ready, because a stopping daemon still serves
  // requests until it exits.
  std::vector<const MeshEndpoint *> usable(const std::string &Service) const;

  // All records, by server id; those of replaced servers are Gone.
  const std::map<std::string, MeshEndpoint> &all() const { return Endpoints; }

  // All records as they were merged. Other daemons get these, because they may
  // have another configuration.
  std::vector<const MeshEndpoint *> merged() const;

  // The replacements that began or ended since the last call.
  std::vector<Replacement> takeReplacements();

  // The addresses of all daemons of servers that are not Gone.
  std::vector<Address> daemonAddresses() const;

private:
  struct Entry {
    MeshEndpoint Record; // As it was merged last.
    // The servers that have run at the same address since this one: service by
    // server id.
    std::map<std::string, std::string> Successors;
    bool IsReplaced = false;
  };

  bool insert(const MeshEndpoint &Record);
  void recordSuccessors(const std::string &Id);
  // The server that has replaced the one of Known; empty if there is none.
  std::string successorOf(const Entry &Known) const;
  void updateEndpoint(const std::string &Id);
  std::vector<const MeshEndpoint *> inState(const std::string &Service,
                                            EndpointState State) const;

  bool ServicesKnown = false;
  std::set<std::string> Services;
  std::map<std::string, Entry> Entries;
  // What all() returns.
  std::map<std::string, MeshEndpoint> Endpoints;
  std::vector<Replacement> Replacements;
};

} // namespace cyclamenwind

#endif
