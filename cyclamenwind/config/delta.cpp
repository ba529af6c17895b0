#include "cyclamenwind/config/delta.h"

#include "cyclamenwind/base/names.h"

#include <map>
#include <set>

#include <nlohmann/json.hpp>
#include <zstd.h>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr std::array<EnumName<DeltaError>, 3> ErrorNames = {{
    {DeltaError::OtherBase, "other_base"},
    {DeltaError::Malformed, "malformed"},
    {DeltaError::WrongDigest, "wrong_digest"},
}};

constexpr int CompressionLevel = 3;
// Maximum size of a document with its envelope.
constexpr int64_t MaxTextBytes = MaxDocumentBytes + 10 * 1000;

std::string nameIn(const json &Element) {
  return Element.at("name").get<std::string>();
}

std::map<std::string, const json *> indexByName(const json &Array) {
  std::map<std::string, const json *> Index;
  for (const json &Element : Array)
    Index[nameIn(Element)] = &Element;
  return Index;
}

void addArrayChanges(const std::string &ArrayName, const json &From,
                     const json &To, wire::ConfigDelta &Delta) {
  std::map<std::string, const json *> OldElements = indexByName(From);
  std::set<std::string> Kept;
  for (size_t I = 0; I < To.size(); ++I) {
    std::string Name = nameIn(To[I]);
    Kept.insert(Name);
    auto Found = OldElements.find(Name);
    if (Found != OldElements.end() && *Found->second == To[I])
      continue;
    wire::ResourceChange Change;
    Change.arrayName = ArrayName;
    Change.position = static_cast<int32_t>(I);
    Change.body = To[I].dump();
    Delta.changed.push_back(std::move(Change));
  }
  for (const auto &[Name, Element] : OldElements) {
    if (Kept.count(Name) != 0)
      continue;
    wire::ResourceName Removed;
    Removed.arrayName = ArrayName;
    Removed.name = Name;
    Delta.removed.push_back(std::move(Removed));
  }
}

json::iterator findNamed(json &Array, const std::string &Name) {
  return std::find_if(Array.begin(), Array.end(), [&](const json &Element) {
    return nameIn(Element) == Name;
  });
}

// The changes of an array must be applied in the order of their positions, so
// that each insertion finds the elements before it already inserted.
void applyChange(const wire::ResourceChange &Change, json &Document) {
  json &Array = Document.at(Change.arrayName);
  json Element = json::parse(Change.body);
  auto Existing = findNamed(Array, nameIn(Element));
  if (Existing != Array.end()) {
    *Existing = std::move(Element);
    return;
  }
  size_t Position =
      std::min(Array.size(), static_cast<size_t>(std::max(0, Change.position)));
  Array.insert(Array.begin() + static_cast<long>(Position), std::move(Element));
}

std::string textWithChanges(const std::string &From,
                            const wire::ConfigDelta &Delta) {
  json Document = json::parse(From).at("document");
  for (const wire::ResourceName &Removed : Delta.removed) {
    json &Array = Document.at(Removed.arrayName);
    auto Found = findNamed(Array, Removed.name);
    if (Found != Array.end())
      Array.erase(Found);
  }
  for (const wire::ResourceChange &Change : Delta.changed)
    applyChange(Change, Document);
  json Envelope = json::parse(Delta.header);
  Envelope["document"] = std::move(Document);
  return Envelope.dump();
}

wire::ConfigDelta deltaBetween(const Snapshot &From, const Snapshot &To) {
  json OldEnvelope = json::parse(From.text());
  json NewEnvelope = json::parse(To.text());
  wire::ConfigDelta Delta;
  Delta.fromVersion = static_cast<int64_t>(From.version());
  Delta.fromDigest = static_cast<int64_t>(From.digest());
  Delta.toVersion = static_cast<int64_t>(To.version());
  Delta.toDigest = static_cast<int64_t>(To.digest());
  for (const auto &[Name, Array] : NewEnvelope.at("document").items())
    addArrayChanges(Name, OldEnvelope.at("document").at(Name), Array, Delta);
  NewEnvelope.erase("document");
  Delta.header = NewEnvelope.dump();
  return Delta;
}

} // namespace

std::string_view nameOf(DeltaError Error) { return nameIn(ErrorNames, Error); }

std::optional<wire::ConfigDelta> makeDelta(const Snapshot &From,
                                           const Snapshot &To) {
  try {
    wire::ConfigDelta Delta = deltaBetween(From, To);
    if (textWithChanges(From.text(), Delta) == To.text())
      return Delta;
  } catch (const json::exception &) {
    return std::nullopt;
  }
  return std::nullopt;
}

Result<std::string, DeltaError> applyDelta(const Snapshot &From,
                                           const wire::ConfigDelta &Delta) {
  if (static_cast<uint64_t>(Delta.fromVersion) != From.version() ||
      static_cast<uint64_t>(Delta.fromDigest) != From.digest())
    return DeltaError::OtherBase;
  std::string Text;
  try {
    Text = textWithChanges(From.text(), Delta);
  } catch (const json::exception &) {
    return DeltaError::Malformed;
  }
  if (digestOf(Text) != static_cast<uint64_t>(Delta.toDigest))
    return DeltaError::WrongDigest;
  return Text;
}

wire::ConfigSnapshot packSnapshot(const Snapshot &Source) {
  wire::ConfigSnapshot Message;
  Message.version = static_cast<int64_t>(Source.version());
  Message.digest = static_cast<int64_t>(Source.digest());
  Message.textBytes = static_cast<int64_t>(Source.text().size());
  Message.compressed.resize(ZSTD_compressBound(Source.text().size()));
  size_t Size = ZSTD_compress(Message.compressed.data(),
                              Message.compressed.size(), Source.text().data(),
                              Source.text().size(), CompressionLevel);
  Message.compressed.resize(ZSTD_isError(Size) != 0U ? 0 : Size);
  return Message;
}

Result<std::string, DeltaError>
unpackSnapshot(const wire::ConfigSnapshot &Message) {
  if (Message.textBytes <= 0 || Message.textBytes > MaxTextBytes)
    return DeltaError::Malformed;
  std::string Text(static_cast<size_t>(Message.textBytes), '\0');
  size_t Size =
      ZSTD_decompress(Text.data(), Text.size(), Message.compressed.data(),
                      Message.compressed.size());
  if (ZSTD_isError(Size) != 0U || Size != Text.size())
    return DeltaError::Malformed;
  if (digestOf(Text) != static_cast<uint64_t>(Message.digest))
    return DeltaError::WrongDigest;
  return Text;
}

} // namespace cyclamenwind
