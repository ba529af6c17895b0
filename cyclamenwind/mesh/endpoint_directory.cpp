#include "cyclamenwind/mesh/endpoint_directory.h"

#include <algorithm>
#include <set>

namespace cyclamenwind {

bool EndpointDirectory::merge(const MeshEndpoint &Record) {
  auto Found = Endpoints.find(Record.Id);
  bool Exists = Found != Endpoints.end();
  if (Exists && !Record.supersedes(Found->second))
    return false;
  bool UnreachableFromOther = Exists &&
                              Record.State == EndpointState::Unreachable &&
                              Found->second.State == EndpointState::Ready &&
                              Found->second.StartedAtMs == Record.StartedAtMs;
  return !UnreachableFromOther && insert(Record);
}

bool EndpointDirectory::mergeFromOwner(const MeshEndpoint &Record) {
  auto Found = Endpoints.find(Record.Id);
  if (Found == Endpoints.end() || Record.supersedes(Found->second))
    return insert(Record);
  MeshEndpoint &Existing = Found->second;
  bool IsReachableAgain = Existing.State == EndpointState::Unreachable &&
                          Record.State == EndpointState::Ready &&
                          Existing.StartedAtMs == Record.StartedAtMs;
  if (IsReachableAgain)
    Existing.State = EndpointState::Ready;
  return IsReachableAgain;
}

bool EndpointDirectory::insert(const MeshEndpoint &Record) {
  for (auto &[Id, Other] : Endpoints) {
    bool SameAddress =
        Other.ServerAddress == Record.ServerAddress && Id != Record.Id;
    if (SameAddress && Other.StartedAtMs > Record.StartedAtMs &&
        Other.State != EndpointState::Gone)
      return false; // A newer server runs at this address.
    if (SameAddress && Other.StartedAtMs <= Record.StartedAtMs)
      Other.State = EndpointState::Gone;
  }
  Endpoints[Record.Id] = Record;
  return true;
}

void EndpointDirectory::remove(const std::string &Id) { Endpoints.erase(Id); }

const MeshEndpoint *EndpointDirectory::find(const std::string &Id) const {
  auto Found = Endpoints.find(Id);
  return Found == Endpoints.end() ? nullptr : &Found->second;
}

std::vector<const MeshEndpoint *>
EndpointDirectory::inState(const std::string &Service,
                           EndpointState State) const {
  std::vector<const MeshEndpoint *> Result;
  for (const auto &[Id, Endpoint] : Endpoints)
    if (Endpoint.Service == Service && Endpoint.State == State)
      Result.push_back(&Endpoint);
  return Result;
}

std::vector<const MeshEndpoint *>
EndpointDirectory::ready(const std::string &Service) const {
  return inState(Service, EndpointState::Ready);
}

std::vector<const MeshEndpoint *>
EndpointDirectory::usable(const std::string &Service) const {
  std::vector<const MeshEndpoint *> Ready = ready(Service);
  return Ready.empty() ? inState(Service, EndpointState::Unreachable) : Ready;
}

std::vector<Address> EndpointDirectory::daemonAddresses() const {
  std::set<Address> Result;
  for (const auto &[Id, Endpoint] : Endpoints)
    if (Endpoint.State != EndpointState::Gone)
      Result.insert(Endpoint.DaemonAddress);
  return {Result.begin(), Result.end()};
}

} // namespace cyclamenwind
