#include "cyclamenwind/mesh/endpoint.h"

#include "cyclamenwind/base/names.h"
#include "cyclamenwind/wire/gen-cpp/mesh_types.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr std::array<EnumName<EndpointState>, 4> StateNames = {{
    {EndpointState::Ready, "ready"},
    {EndpointState::Unreachable, "unreachable"},
    {EndpointState::Draining, "draining"},
    {EndpointState::Gone, "gone"},
}};

bool isComplete(const MeshEndpoint &Endpoint) {
  return !Endpoint.Id.empty() && !Endpoint.Service.empty() &&
         Endpoint.Slots > 0;
}

} // namespace

std::string_view nameOf(EndpointState State) {
  return nameIn(StateNames, State);
}

wire::EndpointRecord toWire(const MeshEndpoint &Endpoint) {
  wire::EndpointRecord Record;
  Record.id = Endpoint.Id;
  Record.serviceName = Endpoint.Service;
  Record.serverVersion = Endpoint.Version;
  Record.failureDomain = Endpoint.FailureDomain;
  Record.gateAddress = Endpoint.DaemonAddress.text();
  Record.serverAddress = Endpoint.ServerAddress.text();
  Record.state = nameOf(Endpoint.State);
  Record.slots = Endpoint.Slots;
  Record.born = Endpoint.StartedAtMs;
  Record.sequence = Endpoint.Sequence;
  return Record;
}

std::optional<MeshEndpoint> fromWire(const wire::EndpointRecord &Record) {
  std::optional<Address> DaemonAddress = parseAddress(Record.gateAddress);
  std::optional<Address> ServerAddress = parseAddress(Record.serverAddress);
  std::optional<EndpointState> State =
      valueIn(StateNames, std::string_view(Record.state));
  if (!DaemonAddress || !ServerAddress || !State)
    return std::nullopt;
  MeshEndpoint Endpoint;
  Endpoint.Id = Record.id;
  Endpoint.Service = Record.serviceName;
  Endpoint.Version = Record.serverVersion;
  Endpoint.FailureDomain = Record.failureDomain;
  Endpoint.DaemonAddress = *DaemonAddress;
  Endpoint.ServerAddress = *ServerAddress;
  Endpoint.State = *State;
  Endpoint.Slots = Record.slots;
  Endpoint.StartedAtMs = Record.born;
  Endpoint.Sequence = Record.sequence;
  if (!isComplete(Endpoint))
    return std::nullopt;
  return Endpoint;
}

std::string formatEndpoint(const MeshEndpoint &Endpoint) {
  json Node = {{"id", Endpoint.Id},
               {"service", Endpoint.Service},
               {"version", Endpoint.Version},
               {"failure_domain", Endpoint.FailureDomain},
               {"gate", Endpoint.DaemonAddress.text()},
               {"server", Endpoint.ServerAddress.text()},
               {"state", nameOf(Endpoint.State)},
               {"slots", Endpoint.Slots},
               {"born", Endpoint.StartedAtMs},
               {"sequence", Endpoint.Sequence}};
  return Node.dump();
}

std::optional<MeshEndpoint> parseEndpoint(const std::string &Text) {
  try {
    json Node = json::parse(Text);
    wire::EndpointRecord Record;
    Record.id = Node.at("id").get<std::string>();
    Record.serviceName = Node.at("service").get<std::string>();
    Record.serverVersion = Node.at("version").get<std::string>();
    Record.failureDomain = Node.at("failure_domain").get<std::string>();
    Record.gateAddress = Node.at("gate").get<std::string>();
    Record.serverAddress = Node.at("server").get<std::string>();
    Record.state = Node.at("state").get<std::string>();
    Record.slots = Node.at("slots").get<int>();
    Record.born = Node.at("born").get<int64_t>();
    Record.sequence = Node.at("sequence").get<int64_t>();
    return fromWire(Record);
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace cyclamenwind
