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

bool isComplete(const MeshEndpoint &Value) {
  return !Value.Id.empty() && !Value.Service.empty() && Value.Slots > 0;
}

} // namespace

std::string_view nameOf(EndpointState State) {
  return nameIn(StateNames, State);
}

wire::EndpointRecord recordOf(const MeshEndpoint &Value) {
  wire::EndpointRecord Record;
  Record.id = Value.Id;
  Record.serviceName = Value.Service;
  Record.serverVersion = Value.Version;
  Record.failureDomain = Value.FailureDomain;
  Record.gateAddress = Value.DaemonAddress.text();
  Record.serverAddress = Value.Server.text();
  Record.state = nameOf(Value.State);
  Record.slots = Value.Slots;
  Record.born = Value.Born;
  Record.sequence = Value.Sequence;
  return Record;
}

std::optional<MeshEndpoint> endpointOf(const wire::EndpointRecord &Record) {
  std::optional<Address> DaemonAddress = parseAddress(Record.gateAddress);
  std::optional<Address> Server = parseAddress(Record.serverAddress);
  std::optional<EndpointState> State =
      valueIn(StateNames, std::string_view(Record.state));
  if (!DaemonAddress || !Server || !State)
    return std::nullopt;
  MeshEndpoint Value;
  Value.Id = Record.id;
  Value.Service = Record.serviceName;
  Value.Version = Record.serverVersion;
  Value.FailureDomain = Record.failureDomain;
  Value.DaemonAddress = *DaemonAddress;
  Value.Server = *Server;
  Value.State = *State;
  Value.Slots = Record.slots;
  Value.Born = Record.born;
  Value.Sequence = Record.sequence;
  if (!isComplete(Value))
    return std::nullopt;
  return Value;
}

std::string formatEndpoint(const MeshEndpoint &Value) {
  json Node = {{"id", Value.Id},
               {"service", Value.Service},
               {"version", Value.Version},
               {"failure_domain", Value.FailureDomain},
               {"gate", Value.DaemonAddress.text()},
               {"server", Value.Server.text()},
               {"state", nameOf(Value.State)},
               {"slots", Value.Slots},
               {"born", Value.Born},
               {"sequence", Value.Sequence}};
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
    return endpointOf(Record);
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace cyclamenwind
