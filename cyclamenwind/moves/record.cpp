#include "cyclamenwind/moves/record.h"

#include "cyclamenwind/base/names.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr size_t MaxSteps = 100;

constexpr std::array<EnumName<MoveState>, 6> StateNames = {{
    {MoveState::WaitingForServers, "waiting_for_servers"},
    {MoveState::Stepping, "stepping"},
    {MoveState::Holding, "holding"},
    {MoveState::Done, "done"},
    {MoveState::TakenBack, "taken_back"},
    {MoveState::Undecided, "undecided"},
}};

constexpr std::array<EnumName<MoveReason>, 6> ReasonNames = {{
    {MoveReason::None, "none"},
    {MoveReason::Errors, "errors"},
    {MoveReason::Latency, "latency"},
    {MoveReason::SetTimePassed, "set_time_passed"},
    {MoveReason::Removed, "removed"},
    {MoveReason::DocumentChanged, "document_changed"},
}};

MoveSteps readSteps(const json &Node) {
  MoveSteps Steps;
  for (const json &Each : Node)
    Steps.push_back({Each.at("share").get<double>(),
                     Each.at("non_repeatable_share").get<double>(),
                     Each.at("weight").get<double>()});
  return Steps;
}

WallTime readTime(const json &Node) {
  std::optional<WallTime> Time = parseWallTime(Node.get<std::string>());
  if (!Time)
    throw std::invalid_argument("time");
  return *Time;
}

MoveRecord readRecord(const json &Node) {
  MoveRecord Record;
  Record.Name = Node.at("name").get<std::string>();
  Record.Service = Node.at("service").get<std::string>();
  Record.From = Node.at("from").get<std::string>();
  Record.To = Node.at("to").get<std::string>();
  Record.State = moveStateCalled(Node.at("state").get<std::string>()).value();
  Record.Step = Node.at("step").get<uint64_t>();
  Record.Steps = readSteps(Node.at("steps"));
  Record.DoneBy = readTime(Node.at("done_by"));
  Record.Entered = readTime(Node.at("entered"));
  Record.Reason =
      moveReasonCalled(Node.at("reason").get<std::string>()).value();
  Record.Detail = Node.at("detail").get<std::string>();
  Record.ShortOfEvidence = Node.at("short_of_evidence").get<bool>();
  Record.DocumentVersion = Node.at("document_version").get<uint64_t>();
  Record.Revision = Node.at("revision").get<uint64_t>();
  Record.Epoch = Node.at("epoch").get<uint64_t>();
  Record.Holder = Node.at("holder").get<std::string>();
  Record.OperationId = Node.at("operation").get<std::string>();
  return Record;
}

} // namespace

std::string_view nameOf(MoveState State) { return nameIn(StateNames, State); }

std::optional<MoveState> moveStateCalled(std::string_view Name) {
  return valueIn(StateNames, Name);
}

std::string_view nameOf(MoveReason Reason) {
  return nameIn(ReasonNames, Reason);
}

std::optional<MoveReason> moveReasonCalled(std::string_view Name) {
  return valueIn(ReasonNames, Name);
}

double MoveRecord::share(bool Repeatable) const {
  switch (State) {
  case MoveState::WaitingForServers:
  case MoveState::TakenBack:
    return 0;
  case MoveState::Holding:
  case MoveState::Done:
    return 1;
  case MoveState::Stepping:
  case MoveState::Undecided:
    break;
  }
  if (Step >= Steps.size())
    return 0;
  return Repeatable ? Steps[Step].Share : Steps[Step].NonRepeatableShare;
}

std::string formatMoveRecord(const MoveRecord &Record) {
  json Steps = json::array();
  for (const MoveStep &Each : Record.Steps)
    Steps.push_back({{"share", Each.Share},
                     {"non_repeatable_share", Each.NonRepeatableShare},
                     {"weight", Each.Weight}});
  json Node = {{"name", Record.Name},
               {"service", Record.Service},
               {"from", Record.From},
               {"to", Record.To},
               {"state", nameOf(Record.State)},
               {"step", Record.Step},
               {"steps", Steps},
               {"done_by", formatWallTime(Record.DoneBy)},
               {"entered", formatWallTime(Record.Entered)},
               {"reason", nameOf(Record.Reason)},
               {"detail", Record.Detail},
               {"short_of_evidence", Record.ShortOfEvidence},
               {"document_version", Record.DocumentVersion},
               {"revision", Record.Revision},
               {"epoch", Record.Epoch},
               {"holder", Record.Holder},
               {"operation", Record.OperationId}};
  return Node.dump();
}

std::optional<MoveRecord> parseMoveRecord(std::string_view Text) {
  try {
    MoveRecord Record = readRecord(json::parse(Text));
    if (Record.Name.empty() || Record.Steps.size() > MaxSteps)
      return std::nullopt;
    return Record;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace cyclamenwind
