#include "cyclamenwind/mesh/endpoint_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cyclamenwind {

void EndpointDirectory::setServices(std::set<std::string> Names) {
  Services = std::move(Names);
  ServicesKnown = true;
  for (const auto &[Id, Known] : Entries)
    updateEndpoint(Id);
}

bool EndpointDirectory::supersedes(const MeshEndpoint &Record,
                                   const MeshEndpoint &Existing) const {
  if (Record.Service != Existing.Service) {
    if (!isNamed(Record.Service))
      return false;
    if (!isNamed(Existing.Service))
      return true;
  }
  return Record.supersedes(Existing);
}

bool EndpointDirectory::merge(const MeshEndpoint &Record) {
  auto Found = Entries.find(Record.Id);
  if (Found == Entries.end())
    return insert(Record);
  const MeshEndpoint &Existing = Found->second.Record;
  bool UnreachableFromOther = Record.State == EndpointState::Unreachable &&
                              Existing.State == EndpointState::Ready &&
                              Existing.StartedAtMs == Record.StartedAtMs;
  return supersedes(Record, Existing) && !UnreachableFromOther &&
         insert(Record);
}

bool EndpointDirectory::mergeFromOwner(const MeshEndpoint &Record) {
  auto Found = Entries.find(Record.Id);
  if (Found == Entries.end() || supersedes(Record, Found->second.Record))
    return insert(Record);
  MeshEndpoint &Existing = Found->second.Record;
  bool IsReachableAgain = Existing.State == EndpointState::Unreachable &&
                          Record.State == EndpointState::Ready &&
                          Existing.StartedAtMs == Record.StartedAtMs &&
                          Existing.Service == Record.Service;
  if (!IsReachableAgain)
    return false;
  Existing.State = EndpointState::Ready;
  updateEndpoint(Record.Id);
  return !Found->second.IsReplaced;
}

// Returns whether that changed anything for users of the directory: a record of
// a server that was replaced does not.
bool EndpointDirectory::insert(const MeshEndpoint &Record) {
  auto [Position, IsNew] = Entries.try_emplace(Record.Id);
  Entry &Known = Position->second;
  bool IsNewIncarnation = IsNew ||
                          Known.Record.StartedAtMs != Record.StartedAtMs ||
                          Known.Record.ServerAddress != Record.ServerAddress ||
                          Known.Record.Service != Record.Service;
  if (IsNewIncarnation)
    Known.Successors.clear();
  Known.Record = Record;
  recordSuccessors(Record.Id);
  updateEndpoint(Record.Id);
  return !Known.IsReplaced;
}

// Compares the server Id with the others at its address. Of two that started in
// the same millisecond, the one that became known later is the successor.
void EndpointDirectory::recordSuccessors(const std::string &Id) {
  Entry &Known = Entries.at(Id);
  for (auto &[OtherId, Other] : Entries) {
    if (OtherId == Id ||
        Other.Record.ServerAddress != Known.Record.ServerAddress)
      continue;
    if (Other.Record.StartedAtMs > Known.Record.StartedAtMs) {
      if (Endpoints.at(OtherId).State != EndpointState::Gone)
        Known.Successors[OtherId] = Other.Record.Service;
    } else if (Known.Successors.count(OtherId) == 0) {
      Other.Successors[Id] = Known.Record.Service;
      updateEndpoint(OtherId);
    }
  }
}

std::string EndpointDirectory::successorOf(const Entry &Known) const {
  for (const auto &[Id, Service] : Known.Successors)
    if (isNamed(Service))
      return Id;
  return "";
}

// Updates the server's record in Endpoints.
void EndpointDirectory::updateEndpoint(const std::string &Id) {
  Entry &Known = Entries.at(Id);
  std::string Successor = successorOf(Known);
  if (Known.IsReplaced == Successor.empty())
    Replacements.push_back({Id, Successor});
  Known.IsReplaced = !Successor.empty();
  MeshEndpoint &Visible = Endpoints[Id];
  Visible = Known.Record;
  if (Known.IsReplaced)
    Visible.State = EndpointState::Gone;
}

std::vector<const MeshEndpoint *> EndpointDirectory::merged() const {
  std::vector<const MeshEndpoint *> Result;
  for (const auto &[Id, Known] : Entries)
    Result.push_back(&Known.Record);
  return Result;
}

std::vector<EndpointDirectory::Replacement>
EndpointDirectory::takeReplacements() {
  return std::exchange(Replacements, {});
}

// A server that was replaced stays so after the record of its successor is
// removed; one that was not is not replaced if the service is named later.
void EndpointDirectory::remove(const std::string &Id) {
  Entries.erase(Id);
  Endpoints.erase(Id);
  for (auto &[OtherId, Other] : Entries) {
    auto Successor = Other.Successors.find(Id);
    if (Successor != Other.Successors.end() && !isNamed(Successor->second))
      Other.Successors.erase(Successor);
  }
}

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
