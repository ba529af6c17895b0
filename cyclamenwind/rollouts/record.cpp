#include "cyclamenwind/rollouts/record.h"

#include "cyclamenwind/base/names.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr size_t MaxSteps = 100;

constexpr std::array<EnumName<RolloutPhase>, 6> PhaseNames = {{
    {RolloutPhase::WaitingForServers, "waiting_for_servers"},
    {RolloutPhase::Stepping, "stepping"},
    {RolloutPhase::Holding, "holding"},
    {RolloutPhase::Done, "done"},
    {RolloutPhase::RolledBack, "taken_back"},
    {RolloutPhase::Undecided, "undecided"},
}};

constexpr std::array<EnumName<RolloutReason>, 6> ReasonNames = {{
    {RolloutReason::None, "none"},
    {RolloutReason::Errors, "errors"},
    {RolloutReason::Latency, "latency"},
    {RolloutReason::DeadlinePassed, "set_time_passed"},
    {RolloutReason::Removed, "removed"},
    {RolloutReason::DocumentChanged, "document_changed"},
}};

RolloutSteps readSteps(const json &Node) {
  RolloutSteps Steps;
  for (const json &StepNode : Node)
    Steps.push_back({StepNode.at("share").get<double>(),
                     StepNode.at("non_repeatable_share").get<double>(),
                     StepNode.at("weight").get<double>()});
  return Steps;
}

WallTime readTime(const json &Node) {
  std::optional<WallTime> Time = parseWallTime(Node.get<std::string>());
  if (!Time)
    throw std::invalid_argument("time");
  return *Time;
}

RolloutRecord readRecord(const json &Node) {
  RolloutRecord Record;
  Record.Name = Node.at("name").get<std::string>();
  Record.Service = Node.at("service").get<std::string>();
  Record.From = Node.at("from").get<std::string>();
  Record.To = Node.at("to").get<std::string>();
  Record.Phase = parseRolloutPhase(Node.at("state").get<std::string>()).value();
  Record.Step = Node.at("step").get<uint64_t>();
  Record.Steps = readSteps(Node.at("steps"));
  Record.Deadline = readTime(Node.at("done_by"));
  Record.Entered = readTime(Node.at("entered"));
  Record.Reason =
      parseRolloutReason(Node.at("reason").get<std::string>()).value();
  Record.Detail = Node.at("detail").get<std::string>();
  Record.InsufficientEvidence = Node.at("short_of_evidence").get<bool>();
  Record.DocumentVersion = Node.at("document_version").get<uint64_t>();
  Record.Revision = Node.at("revision").get<uint64_t>();
  Record.Epoch = Node.at("epoch").get<uint64_t>();
  Record.Holder = Node.at("holder").get<std::string>();
  Record.OperationId = Node.at("operation").get<std::string>();
  return Record;
}

} // namespace

std::string_view nameOf(RolloutPhase Phase) {
  return nameIn(PhaseNames, Phase);
}

std::optional<RolloutPhase> parseRolloutPhase(std::string_view Name) {
  return valueIn(PhaseNames, Name);
}

std::string_view nameOf(RolloutReason Reason) {
  return nameIn(ReasonNames, Reason);
}

std::optional<RolloutReason> parseRolloutReason(std::string_view Name) {
  return valueIn(ReasonNames, Name);
}

double RolloutRecord::share(bool Idempotent) const {
  switch (Phase) {
  case RolloutPhase::WaitingForServers:
  case RolloutPhase::RolledBack:
    return 0;
  case RolloutPhase::Holding:
  case RolloutPhase::Done:
    return 1;
  case RolloutPhase::Stepping:
  case RolloutPhase::Undecided:
    break;
  }
  if (Step >= Steps.size())
    return 0;
  return Idempotent ? Steps[Step].Share : Steps[Step].NonIdempotentShare;
}

std::string formatRolloutRecord(const RolloutRecord &Record) {
  json Steps = json::array();
  for (const RolloutStep &Step : Record.Steps)
    Steps.push_back({{"share", Step.Share},
                     {"non_repeatable_share", Step.NonIdempotentShare},
                     {"weight", Step.Weight}});
  json Node = {{"name", Record.Name},
               {"service", Record.Service},
               {"from", Record.From},
               {"to", Record.To},
               {"state", nameOf(Record.Phase)},
               {"step", Record.Step},
               {"steps", Steps},
               {"done_by", formatWallTime(Record.Deadline)},
               {"entered", formatWallTime(Record.Entered)},
               {"reason", nameOf(Record.Reason)},
               {"detail", Record.Detail},
               {"short_of_evidence", Record.InsufficientEvidence},
               {"document_version", Record.DocumentVersion},
               {"revision", Record.Revision},
               {"epoch", Record.Epoch},
               {"holder", Record.Holder},
               {"operation", Record.OperationId}};
  return Node.dump();
}

std::optional<RolloutRecord> parseRolloutRecord(std::string_view Text) {
  try {
    RolloutRecord Record = readRecord(json::parse(Text));
    if (Record.Name.empty() || Record.Steps.size() > MaxSteps)
      return std::nullopt;
    return Record;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace cyclamenwind
