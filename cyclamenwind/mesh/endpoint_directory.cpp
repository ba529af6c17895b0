#include "cyclamenwind/mesh/endpoint_directory.h"

#include <algorithm>
#include <set>

namespace cyclamenwind {

bool EndpointDirectory::merge(const MeshEndpoint &Record) {
  auto Found = Endpoints.find(Record.Id);
  bool Known = Found != Endpoints.end();
  if (Known && !Record.supersedes(Found->second))
    return false;
  bool SecondHand = Known && Record.State == EndpointState::Unreachable &&
                    Found->second.State == EndpointState::Ready &&
                    Found->second.Born == Record.Born;
  return !SecondHand && take(Record);
}

bool EndpointDirectory::mergeFromOwner(const MeshEndpoint &Record) {
  auto Found = Endpoints.find(Record.Id);
  if (Found == Endpoints.end() || Record.supersedes(Found->second))
    return take(Record);
  MeshEndpoint &Known = Found->second;
  bool IsBack = Known.State == EndpointState::Unreachable &&
                Record.State == EndpointState::Ready &&
                Known.Born == Record.Born;
  if (IsBack)
    Known.State = EndpointState::Ready;
  return IsBack;
}

bool EndpointDirectory::take(const MeshEndpoint &Record) {
  for (auto &[Id, Other] : Endpoints) {
    bool SameServer = Other.Server == Record.Server && Id != Record.Id;
    if (SameServer && Other.Born > Record.Born &&
        Other.State != EndpointState::Gone)
      return false; // A later server runs at this address.
    if (SameServer && Other.Born <= Record.Born)
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
  for (const auto &[Id, Each] : Endpoints)
    if (Each.Service == Service && Each.State == State)
      Result.push_back(&Each);
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
  for (const auto &[Id, Each] : Endpoints)
    if (Each.State != EndpointState::Gone)
      Result.insert(Each.DaemonAddress);
  return {Result.begin(), Result.end()};
}

} // namespace cyclamenwind
