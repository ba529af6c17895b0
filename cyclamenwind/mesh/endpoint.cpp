#include "cyclamenwind/mesh/endpoint.h"

#include "cyclamenwind/base/names.h"
#include "cyclamenwind/base/text.h"
#include "cyclamenwind/wire/gen-cpp/mesh_types.h"

#include <limits>

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

// More slots than any backend server has; a larger number is not a record of a
// daemon.
constexpr int MaxSlots = 1000000;

// Returns the integer Field of Node. Throws json::exception if it is missing,
// is not an integer or does not fit in T, which get() alone would truncate.
template <typename T> T integerAt(const json &Node, const char *Field) {
  const json &Value = Node.at(Field);
  bool IsTooLarge =
      Value.is_number_unsigned() &&
      Value.get<uint64_t>() > uint64_t(std::numeric_limits<T>::max());
  bool IsTooSmall =
      Value.is_number_integer() && !Value.is_number_unsigned() &&
      Value.get<int64_t>() < int64_t(std::numeric_limits<T>::min());
  if (!Value.is_number_integer() || IsTooLarge || IsTooSmall)
    throw json::other_error::create(
        501, std::string(Field) + " is not an integer in range", &Value);
  return Value.get<T>();
}

bool isComplete(const MeshEndpoint &Endpoint) {
  return !Endpoint.Id.empty() && !Endpoint.Service.empty() &&
         Endpoint.Slots > 0 && Endpoint.Slots <= MaxSlots;
}

// Whether formatEndpoint() can write the record.
bool isReadable(const MeshEndpoint &Endpoint) {
  return isUtf8(Endpoint.Id) && isUtf8(Endpoint.Service) &&
         isUtf8(Endpoint.Version) && isUtf8(Endpoint.FailureDomain);
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
  if (!isComplete(Endpoint) || !isReadable(Endpoint))
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
    Record.slots = integerAt<int>(Node, "slots");
    Record.born = integerAt<int64_t>(Node, "born");
    Record.sequence = integerAt<int64_t>(Node, "sequence");
    return fromWire(Record);
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace cyclamenwind
