#include "cyclamenwind/document/document.h"

#include "cyclamenwind/base/names.h"
#include "cyclamenwind/document/reader.h"

#include <set>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr size_t MaxServices = 1000;
constexpr size_t MaxRoutes = 5000;
constexpr size_t MaxRollouts = 200;
constexpr size_t MaxPathBytes = 1000;
constexpr int64_t MaxDeadlineMs = 600000;

constexpr std::array<EnumName<Priority>, 3> PriorityNames = {{
    {Priority::Background, "background"},
    {Priority::Normal, "normal"},
    {Priority::Urgent, "urgent"},
}};

constexpr std::array<EnumName<ResubmissionRule>, 2> ResubmissionNames = {{
    {ResubmissionRule::Forward, "forward"},
    {ResubmissionRule::Claim, "claim"},
}};

constexpr std::array<EnumName<DeadlineRule>, 2> DeadlineRuleNames = {{
    {DeadlineRule::RollBack, "take-back"},
    {DeadlineRule::StayUndecided, "stay-undecided"},
}};

constexpr std::array<EnumName<InsufficientEvidenceRule>, 2>
    InsufficientEvidenceNames = {{
        {InsufficientEvidenceRule::Hold, "hold"},
        {InsufficientEvidenceRule::Advance, "advance"},
    }};

constexpr int64_t MaxSlowStartMs = 3600000;

constexpr std::array<std::string_view, 7> Methods = {
    "", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};

ServiceSpec readService(const json &Node, std::string Path,
                        DocumentErrors &Errors) {
  ObjectReader Reader(Node, std::move(Path), Errors);
  ServiceSpec Spec;
  Spec.Name = Reader.name("name");
  Spec.Version = Reader.name("version");
  Reader.finish();
  return Spec;
}

void readMatch(const json &Node, std::string Path, RouteSpec &Spec,
               DocumentErrors &Errors) {
  ObjectReader Reader(Node, std::move(Path), Errors);
  Spec.Method = Reader.textOr("method", MaxPathBytes, "");
  if (std::find(Methods.begin(), Methods.end(), Spec.Method) == Methods.end())
    Reader.fail("method", "must be GET, HEAD, POST, PUT, PATCH or DELETE");
  Spec.PathPrefix = Reader.text("path_prefix", MaxPathBytes);
  if (!Spec.PathPrefix.empty() && Spec.PathPrefix[0] != '/')
    Reader.fail("path_prefix", "must begin with '/'");
  Reader.finish();
}

// Reads an optional member whose value is one of the names in Table.
template <typename E, size_t N>
E readEnum(ObjectReader &Reader, const char *Key,
           const std::array<EnumName<E>, N> &Table, E Default) {
  std::string Text =
      Reader.textOr(Key, MaxPathBytes, std::string(nameIn(Table, Default)));
  std::optional<E> Value = valueIn(Table, Text);
  if (Value)
    return *Value;
  std::string Choices;
  for (const EnumName<E> &Entry : Table)
    Choices += (Choices.empty() ? "" : ", ") + std::string(Entry.Name);
  Reader.fail(Key, "must be one of: " + Choices);
  return Default;
}

RouteSpec readRoute(const json &Node, std::string Path,
                    DocumentErrors &Errors) {
  ObjectReader Reader(Node, std::move(Path), Errors);
  RouteSpec Spec;
  Spec.Name = Reader.name("name");
  Spec.Service = Reader.name("service");
  if (const json *Match = Reader.required("match"))
    readMatch(*Match, Reader.pathOf("match"), Spec, Errors);
  Spec.Deadline = std::chrono::milliseconds(Reader.integerOr(
      "deadline_ms", 1, MaxDeadlineMs, milliseconds(Spec.Deadline)));
  Spec.Idempotent = Reader.booleanOr("repeatable", Spec.Idempotent);
  Spec.Urgency = readEnum(Reader, "priority", PriorityNames, Spec.Urgency);
  Spec.Resubmission =
      readEnum(Reader, "resubmission", ResubmissionNames, Spec.Resubmission);
  Reader.finish();
  return Spec;
}

RolloutSpec readRollout(const json &Node, std::string Path,
                        DocumentErrors &Errors) {
  ObjectReader Reader(Node, std::move(Path), Errors);
  RolloutSpec Spec;
  Spec.Name = Reader.name("name");
  Spec.Service = Reader.name("service");
  Spec.To = Reader.name("to");
  Spec.Deadline = Reader.time("done_by");
  Spec.AtSetTime =
      readEnum(Reader, "at_set_time", DeadlineRuleNames, Spec.AtSetTime);
  Spec.WhenEvidenceIsShort =
      readEnum(Reader, "when_evidence_is_short", InsufficientEvidenceNames,
               Spec.WhenEvidenceIsShort);
  Spec.MaxErrorIncrease =
      Reader.numberOr("max_error_increase", 0.005, 0.5, Spec.MaxErrorIncrease);
  Spec.MaxLatencyFactor =
      Reader.numberOr("max_latency_factor", 1.2, 10, Spec.MaxLatencyFactor);
  Spec.FalseAlarmRate =
      Reader.numberOr("false_alarm_rate", 0.0001, 0.1, Spec.FalseAlarmRate);
  Spec.MissRate = Reader.numberOr("miss_rate", 0.0001, 0.2, Spec.MissRate);
  Spec.SlowStart = std::chrono::milliseconds(Reader.integerOr(
      "slow_start_ms", 0, MaxSlowStartMs, milliseconds(Spec.SlowStart)));
  Reader.finish();
  return Spec;
}

template <typename Spec>
void checkUniqueNames(const std::vector<Spec> &Specs, const char *Array,
                      DocumentErrors &Errors) {
  std::set<std::string_view> Seen;
  for (size_t I = 0; I < Specs.size(); ++I)
    if (!Specs[I].Name.empty() && !Seen.insert(Specs[I].Name).second)
      Errors.push_back(
          {"/" + std::string(Array) + "/" + std::to_string(I) + "/name",
           "'" + Specs[I].Name + "' stands twice"});
}

template <typename Spec>
void checkServiceNames(const Document &Value, const std::vector<Spec> &Specs,
                       const char *Array, DocumentErrors &Errors) {
  for (size_t I = 0; I < Specs.size(); ++I)
    if (!Specs[I].Service.empty() && Value.service(Specs[I].Service) == nullptr)
      Errors.push_back(
          {"/" + std::string(Array) + "/" + std::to_string(I) + "/service",
           "there is no service '" + Specs[I].Service + "'"});
}

void checkRouteMatches(const Document &Value, DocumentErrors &Errors) {
  std::set<std::pair<std::string_view, std::string_view>> Seen;
  for (size_t I = 0; I < Value.Routes.size(); ++I) {
    const RouteSpec &Route = Value.Routes[I];
    if (!Seen.insert({Route.Method, Route.PathPrefix}).second)
      Errors.push_back({"/routes/" + std::to_string(I) + "/match",
                        "another route has the same match"});
  }
}

void checkRollouts(const Document &Value, DocumentErrors &Errors) {
  std::set<std::string_view> ServicesInRollout;
  for (size_t I = 0; I < Value.Rollouts.size(); ++I) {
    const RolloutSpec &Rollout = Value.Rollouts[I];
    std::string Path = "/moves/" + std::to_string(I);
    const ServiceSpec *Service = Value.service(Rollout.Service);
    if (Service != nullptr && Service->Version == Rollout.To)
      Errors.push_back({Path + "/to", "is the service's present version"});
    if (!ServicesInRollout.insert(Rollout.Service).second)
      Errors.push_back({Path + "/service", "another move has this service"});
  }
}

// Checks uniqueness of names and references between resources.
void checkConsistency(const Document &Value, DocumentErrors &Errors) {
  checkUniqueNames(Value.Services, "services", Errors);
  checkUniqueNames(Value.Routes, "routes", Errors);
  checkUniqueNames(Value.Rollouts, "moves", Errors);
  checkServiceNames(Value, Value.Routes, "routes", Errors);
  checkServiceNames(Value, Value.Rollouts, "moves", Errors);
  checkRouteMatches(Value, Errors);
  checkRollouts(Value, Errors);
}

Document readDocument(const json &Node, const std::string &Path,
                      DocumentErrors &Errors) {
  ObjectReader Reader(Node, Path, Errors);
  Document Value;
  Reader.array("services", MaxServices,
               [&](const json &Element, std::string ElementPath) {
                 Value.Services.push_back(
                     readService(Element, std::move(ElementPath), Errors));
               });
  Reader.array("routes", MaxRoutes,
               [&](const json &Element, std::string ElementPath) {
                 Value.Routes.push_back(
                     readRoute(Element, std::move(ElementPath), Errors));
               });
  Reader.array("moves", MaxRollouts,
               [&](const json &Element, std::string ElementPath) {
                 Value.Rollouts.push_back(
                     readRollout(Element, std::move(ElementPath), Errors));
               });
  Reader.finish();
  checkConsistency(Value, Errors);
  return Value;
}

// Parses JSON of at most MaxBytes. Returns nothing if Text is malformed or too
// large, and adds an error.
std::optional<json> parseJson(std::string_view Text, size_t MaxBytes,
                              DocumentErrors &Errors) {
  if (Text.size() > MaxBytes) {
    Errors.push_back(
        {"", "is larger than " + std::to_string(MaxBytes) + " bytes"});
    return std::nullopt;
  }
  try {
    return json::parse(Text);
  } catch (const json::exception &Error) {
    Errors.push_back({"", Error.what()});
    return std::nullopt;
  }
}

json jsonOf(const Document &Value) {
  json Services = json::array();
  for (const ServiceSpec &Service : Value.Services)
    Services.push_back({{"name", Service.Name}, {"version", Service.Version}});
  json Routes = json::array();
  for (const RouteSpec &Route : Value.Routes) {
    json Match = {{"path_prefix", Route.PathPrefix}};
    if (!Route.Method.empty())
      Match["method"] = Route.Method;
    Routes.push_back({{"name", Route.Name},
                      {"service", Route.Service},
                      {"match", Match},
                      {"deadline_ms", milliseconds(Route.Deadline)},
                      {"repeatable", Route.Idempotent},
                      {"priority", nameOf(Route.Urgency)},
                      {"resubmission", nameOf(Route.Resubmission)}});
  }
  json Rollouts = json::array();
  for (const RolloutSpec &Rollout : Value.Rollouts)
    Rollouts.push_back(
        {{"name", Rollout.Name},
         {"service", Rollout.Service},
         {"to", Rollout.To},
         {"done_by", formatWallTime(Rollout.Deadline)},
         {"at_set_time", nameOf(Rollout.AtSetTime)},
         {"when_evidence_is_short", nameOf(Rollout.WhenEvidenceIsShort)},
         {"max_error_increase", Rollout.MaxErrorIncrease},
         {"max_latency_factor", Rollout.MaxLatencyFactor},
         {"false_alarm_rate", Rollout.FalseAlarmRate},
         {"miss_rate", Rollout.MissRate},
         {"slow_start_ms", milliseconds(Rollout.SlowStart)}});
  return {{"services", Services}, {"routes", Routes}, {"moves", Rollouts}};
}

PastOperation readPastOperation(const json &Node, std::string Path,
                                DocumentErrors &Errors) {
  ObjectReader Reader(Node, std::move(Path), Errors);
  PastOperation Past;
  Past.Version =
      static_cast<uint64_t>(Reader.integerOr("version", 1, INT64_MAX, 1));
  Past.OperationId = Reader.name("operation");
  Reader.finish();
  return Past;
}

json jsonOf(const std::vector<PastOperation> &Past) {
  json List = json::array();
  for (const PastOperation &Operation : Past)
    List.push_back(
        {{"version", Operation.Version}, {"operation", Operation.OperationId}});
  return List;
}

// Maximum size of an envelope's own members, without the document.
constexpr size_t EnvelopeOverheadBytes = 10 * 1000;

} // namespace

std::string_view nameOf(Priority Value) { return nameIn(PriorityNames, Value); }

std::string_view nameOf(ResubmissionRule Value) {
  return nameIn(ResubmissionNames, Value);
}

std::string_view nameOf(DeadlineRule Value) {
  return nameIn(DeadlineRuleNames, Value);
}

std::string_view nameOf(InsufficientEvidenceRule Value) {
  return nameIn(InsufficientEvidenceNames, Value);
}

const ServiceSpec *Document::service(std::string_view Name) const {
  for (const ServiceSpec &Service : Services)
    if (Service.Name == Name)
      return &Service;
  return nullptr;
}

Result<Document, DocumentErrors> parseDocument(std::string_view Text) {
  DocumentErrors Errors;
  std::optional<json> Node = parseJson(Text, MaxDocumentBytes, Errors);
  if (!Node)
    return Errors;
  Document Value = readDocument(*Node, "", Errors);
  if (!Errors.empty())
    return Errors;
  return Value;
}

std::string formatDocument(const Document &Value) {
  return jsonOf(Value).dump();
}

std::string formatEnvelope(const Envelope &Value) {
  json Node = {{"version", Value.Version},
               {"operation", Value.OperationId},
               {"author", Value.Author},
               {"written", formatWallTime(Value.Written)},
               {"document", jsonOf(Value.Body)}};
  if (!Value.Past.empty())
    Node["past"] = jsonOf(Value.Past);
  return Node.dump();
}

std::vector<PastOperation> Envelope::pastOfNext() const {
  std::vector<PastOperation> Next = {{Version, OperationId}};
  Next.insert(Next.end(), Past.begin(), Past.end());
  if (Next.size() > MaxPastOperations)
    Next.resize(MaxPastOperations);
  return Next;
}

std::optional<uint64_t> Envelope::versionOf(std::string_view Operation) const {
  if (OperationId == Operation)
    return Version;
  for (const PastOperation &Earlier : Past)
    if (Earlier.OperationId == Operation)
      return Earlier.Version;
  return std::nullopt;
}

Result<Envelope, DocumentErrors> parseEnvelope(std::string_view Text) {
  DocumentErrors Errors;
  std::optional<json> Node =
      parseJson(Text, MaxDocumentBytes + EnvelopeOverheadBytes, Errors);
  if (!Node)
    return Errors;
  Envelope Value;
  ObjectReader Reader(*Node, "", Errors);
  Value.Version =
      static_cast<uint64_t>(Reader.integerOr("version", 1, INT64_MAX, 0));
  if (Value.Version == 0 && Errors.empty())
    Reader.fail("version", "is required");
  Value.OperationId = Reader.name("operation");
  Value.Author = Reader.textOr("author", MaxPathBytes, "");
  Value.Written = Reader.time("written");
  if (const json *Body = Reader.required("document"))
    Value.Body = readDocument(*Body, "/document", Errors);
  Reader.array("past", MaxPastOperations,
               [&](const json &Element, std::string ElementPath) {
                 Value.Past.push_back(readPastOperation(
                     Element, std::move(ElementPath), Errors));
               });
  Reader.finish();
  if (!Errors.empty())
    return Errors;
  return Value;
}

uint64_t digestOf(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace cyclamenwind
