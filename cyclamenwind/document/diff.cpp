#include "cyclamenwind/document/diff.h"

#include "cyclamenwind/base/names.h"

#include <map>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr std::array<EnumName<ResourceKind>, 3> KindNames = {{
    {ResourceKind::Service, "service"},
    {ResourceKind::Route, "route"},
    {ResourceKind::Move, "move"},
}};

constexpr std::array<EnumName<ChangeKind>, 3> ChangeNames = {{
    {ChangeKind::Added, "added"},
    {ChangeKind::Removed, "removed"},
    {ChangeKind::Changed, "changed"},
}};

// Arrays of the document and the kind of resource that each contains.
constexpr std::array<EnumName<ResourceKind>, 3> ArrayNames = {{
    {ResourceKind::Service, "services"},
    {ResourceKind::Route, "routes"},
    {ResourceKind::Move, "moves"},
}};

using Resources = std::map<std::string, json>;

Resources resourcesIn(const json &Array) {
  Resources ByName;
  for (const json &Resource : Array)
    ByName[Resource.at("name").get<std::string>()] = Resource;
  return ByName;
}

std::string memberText(const json &Node, const std::string &Key) {
  auto Found = Node.find(Key);
  return Found == Node.end() ? "" : Found->dump();
}

std::vector<FieldChange> diffMembers(const json &From, const json &To) {
  json Both = From;
  Both.update(To);
  std::vector<FieldChange> Fields;
  for (const auto &[Key, Value] : Both.items()) {
    FieldChange Field = {"/" + Key, memberText(From, Key), memberText(To, Key)};
    if (Field.From != Field.To)
      Fields.push_back(std::move(Field));
  }
  return Fields;
}

void diffResources(ResourceKind Kind, const Resources &From,
                   const Resources &To, std::vector<ResourceChange> &Changes) {
  std::map<std::string, const json *> Names;
  for (const auto &[Name, Node] : From)
    Names[Name] = &Node;
  for (const auto &[Name, Node] : To)
    Names[Name] = &Node;
  for (const auto &Entry : Names) {
    const std::string &Name = Entry.first;
    auto Old = From.find(Name);
    auto New = To.find(Name);
    if (Old == From.end())
      Changes.push_back({Kind, Name, ChangeKind::Added, {}});
    else if (New == To.end())
      Changes.push_back({Kind, Name, ChangeKind::Removed, {}});
    else if (Old->second != New->second)
      Changes.push_back({Kind, Name, ChangeKind::Changed,
                         diffMembers(Old->second, New->second)});
  }
}

} // namespace

std::string_view nameOf(ResourceKind Kind) { return nameIn(KindNames, Kind); }

std::string_view nameOf(ChangeKind Kind) { return nameIn(ChangeNames, Kind); }

std::string ResourceChange::text() const {
  std::string Line = std::string(nameOf(Change)) + " " +
                     std::string(nameOf(Resource)) + " " + Name;
  for (const FieldChange &Field : Fields)
    Line += " " + Field.Field + ": " +
            (Field.From.empty() ? "absent" : Field.From) + " -> " +
            (Field.To.empty() ? "absent" : Field.To);
  return Line;
}

std::vector<ResourceChange> diffDocuments(const Document &From,
                                          const Document &To) {
  json Old = json::parse(formatDocument(From));
  json New = json::parse(formatDocument(To));
  std::vector<ResourceChange> Changes;
  for (const EnumName<ResourceKind> &Kind : ArrayNames) {
    std::string Array(Kind.Name);
    diffResources(Kind.Value, resourcesIn(Old.at(Array)),
                  resourcesIn(New.at(Array)), Changes);
  }
  return Changes;
}

json jsonOf(const std::vector<ResourceChange> &Changes) {
  json List = json::array();
  for (const ResourceChange &Change : Changes) {
    json Fields = json::array();
    for (const FieldChange &Field : Change.Fields)
      Fields.push_back(
          {{"field", Field.Field}, {"from", Field.From}, {"to", Field.To}});
    List.push_back({{"resource", nameOf(Change.Resource)},
                    {"name", Change.Name},
                    {"change", nameOf(Change.Change)},
                    {"fields", Fields}});
  }
  return List;
}

} // namespace cyclamenwind
