#include "cyclamenwind/operators/audit_objects.h"

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr size_t HourTextLength = 13; // "2026-08-01T09"
constexpr size_t DayTextLength = 10;  // "2026-08-01"

std::string truncate(std::string Text) {
  if (Text.size() > MaxAuditTextBytes)
    Text.resize(MaxAuditTextBytes);
  return Text;
}

AuditRecord truncate(AuditRecord Record) {
  AuditEntry &Entry = Record.Entry;
  for (std::string *Text :
       {&Record.OperationId, &Entry.Actor, &Entry.Action, &Entry.Subject,
        &Entry.From, &Entry.To, &Entry.Outcome, &Entry.Detail})
    *Text = truncate(std::move(*Text));
  // Times are stored with a resolution of one millisecond.
  Entry.Time = std::chrono::floor<std::chrono::milliseconds>(Entry.Time);
  return Record;
}

// Bytes that are not valid UTF-8 are written as replacement characters.
std::string textOf(const json &Node) {
  return Node.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<json> parseObject(const std::string &Text) {
  json Node = json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (!Node.is_object())
    return std::nullopt;
  return Node;
}

AuditRecord recordOf(const json &Node) {
  AuditRecord Record;
  Record.OperationId = Node.at("operation").get<std::string>();
  AuditEntry &Entry = Record.Entry;
  Entry.Actor = Node.at("actor").get<std::string>();
  Entry.Action = Node.at("action").get<std::string>();
  Entry.Subject = Node.at("subject").get<std::string>();
  Entry.From = Node.value("from", "");
  Entry.To = Node.value("to", "");
  Entry.Outcome = Node.at("outcome").get<std::string>();
  Entry.Detail = Node.value("detail", "");
  Entry.Time = parseWallTime(Node.at("time").get<std::string>()).value();
  return Record;
}

AuditSummary summaryOf(const json &Node) {
  return {Node.at("actor").get<std::string>(),
          Node.at("action").get<std::string>(),
          Node.at("outcome").get<std::string>(),
          Node.at("count").get<uint64_t>(), Node.value("last_to", "")};
}

} // namespace

WallTime auditHourOf(WallTime Time) {
  return std::chrono::floor<std::chrono::hours>(Time);
}

std::string auditHourKey(WallTime Time) {
  return "audit/hour/" + formatWallTime(Time).substr(0, HourTextLength);
}

std::string auditTenHoursPrefix(WallTime Time) {
  std::string Key = auditHourKey(Time);
  Key.pop_back();
  return Key;
}

std::string auditDayKey(WallTime Time) {
  return "audit/day/" + formatWallTime(Time).substr(0, DayTextLength);
}

json jsonOf(const AuditRecord &Record) {
  const AuditEntry &Entry = Record.Entry;
  json Node = {
      {"operation", Record.OperationId}, {"actor", Entry.Actor},
      {"action", Entry.Action},          {"subject", Entry.Subject},
      {"outcome", Entry.Outcome},        {"time", formatWallTime(Entry.Time)}};
  if (!Entry.From.empty())
    Node["from"] = Entry.From;
  if (!Entry.To.empty())
    Node["to"] = Entry.To;
  if (!Entry.Detail.empty())
    Node["detail"] = Entry.Detail;
  return Node;
}

json jsonOf(const AuditSummary &Line) {
  return {{"actor", Line.Actor},
          {"action", Line.Action},
          {"outcome", Line.Outcome},
          {"count", Line.Count},
          {"last_to", Line.LastTo}};
}

Result<AuditHour, AuditObjectError> AuditHour::parse(const std::string &Text) {
  std::optional<json> Node = parseObject(Text);
  if (!Node)
    return AuditObjectError::Malformed;
  AuditHour Hour;
  try {
    for (const json &Entry : Node->at("entries"))
      Hour.add(recordOf(Entry));
    Hour.Omitted = Node->value("omitted", uint64_t(0));
    Hour.Sealed = Node->value("sealed", false);
  } catch (const std::exception &) {
    return AuditObjectError::Malformed;
  }
  return Hour;
}

std::string AuditHour::format() const {
  json Entries = json::array();
  for (const AuditRecord &Record : Records)
    Entries.push_back(jsonOf(Record));
  return textOf(
      {{"entries", Entries}, {"omitted", Omitted}, {"sealed", Sealed}});
}

AuditAppend AuditHour::append(AuditRecord Record) {
  Record = truncate(std::move(Record));
  if (contains(Record.OperationId))
    return AuditAppend::Duplicate;
  if (Sealed)
    return AuditAppend::Sealed;
  if (Bytes >= MaxAuditHourBytes) {
    ++Omitted;
    return AuditAppend::Omitted;
  }
  add(std::move(Record));
  return AuditAppend::Added;
}

bool AuditHour::contains(const std::string &OperationId) const {
  return Operations.count(truncate(OperationId)) != 0;
}

void AuditHour::add(AuditRecord Record) {
  Bytes += textOf(jsonOf(Record)).size() + 1;
  Operations.insert(Record.OperationId);
  Records.push_back(std::move(Record));
}

Result<AuditDay, AuditObjectError> AuditDay::parse(const std::string &Text) {
  std::optional<json> Node = parseObject(Text);
  if (!Node)
    return AuditObjectError::Malformed;
  AuditDay Day;
  try {
    for (const json &Hour : Node->at("hours"))
      Day.Hours.insert(Hour.get<std::string>());
    for (const json &Line : Node->at("lines"))
      Day.Lines.push_back(summaryOf(Line));
    Day.Omitted = Node->value("omitted", uint64_t(0));
  } catch (const std::exception &) {
    return AuditObjectError::Malformed;
  }
  return Day;
}

std::string AuditDay::format() const {
  json Summaries = json::array();
  for (const AuditSummary &Line : Lines)
    Summaries.push_back(jsonOf(Line));
  return textOf({{"hours", Hours}, {"lines", Summaries}, {"omitted", Omitted}});
}

void AuditDay::fold(const std::string &HourKey, const AuditHour &Hour,
                    const AuditHour &FollowingHour) {
  if (!Hours.insert(HourKey).second)
    return;
  for (const AuditRecord &Record : Hour.records()) {
    if (FollowingHour.contains(Record.OperationId))
      continue;
    AuditSummary &Line = lineFor(Record.Entry);
    ++Line.Count;
    Line.LastTo = Record.Entry.To;
  }
  Omitted += Hour.omitted();
}

AuditSummary &AuditDay::lineFor(const AuditEntry &Entry) {
  for (AuditSummary &Line : Lines)
    if (Line.Actor == Entry.Actor && Line.Action == Entry.Action &&
        Line.Outcome == Entry.Outcome)
      return Line;
  if (Lines.size() + 1 < MaxAuditDayLines)
    return Lines.emplace_back(
        AuditSummary{Entry.Actor, Entry.Action, Entry.Outcome, 0, ""});
  if (Lines.size() < MaxAuditDayLines)
    Lines.push_back({"other", "other", "other", 0, ""});
  return Lines.back();
}

} // namespace cyclamenwind
