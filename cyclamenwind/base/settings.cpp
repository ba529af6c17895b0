#include "cyclamenwind/base/settings.h"

#include "cyclamenwind/base/names.h"

#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include <toml++/toml.h>

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<SettingsErrorCode>, 6> CodeNames = {{
    {SettingsErrorCode::Unreadable, "unreadable"},
    {SettingsErrorCode::Syntax, "syntax"},
    {SettingsErrorCode::UnknownKey, "unknown_key"},
    {SettingsErrorCode::WrongType, "wrong_type"},
    {SettingsErrorCode::OutOfRange, "out_of_range"},
    {SettingsErrorCode::Missing, "missing"},
}};

constexpr std::array<EnumName<LogLevel>, 4> LevelNames = {{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

constexpr size_t MaxNameBytes = 100;
constexpr size_t MaxListedAddresses = 32;

// Error of one value; readKey() adds file, line and key.
struct ValueError {
  SettingsErrorCode Code;
  std::string Message;
};

using ValueResult = Result<void, ValueError>;

// Checks the value of one key and stores it in a field of Settings.
struct KeyReader {
  std::function<ValueResult(const toml::node &)> Read;
  bool Required = false;
  bool WasRead = false;
};

ValueError wrongType(std::string_view Expected) {
  return {SettingsErrorCode::WrongType, "must be " + std::string(Expected)};
}

ValueError outOfRange(std::string Message) {
  return {SettingsErrorCode::OutOfRange, std::move(Message)};
}

KeyReader nameKey(std::string &Field) {
  return {
      [&Field](const toml::node &Node) -> ValueResult {
        auto Value = Node.value_exact<std::string>();
        if (!Value)
          return wrongType("a string");
        bool ValidCharacters =
            Value->find_first_not_of(
                "abcdefghijklmnopqrstuvwxyz"
                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == std::string::npos;
        if (Value->empty() || Value->size() > MaxNameBytes || !ValidCharacters)
          return outOfRange("must be 1 to 100 letters, digits, '-', '_' "
                            "or '.'");
        Field = *Value;
        return success();
      },
      /*Required=*/true};
}

KeyReader addressKey(Address &Field) {
  return {[&Field](const toml::node &Node) -> ValueResult {
            auto Value = Node.value_exact<std::string>();
            if (!Value)
              return wrongType("a string");
            std::optional<Address> Parsed = parseAddress(*Value);
            if (!Parsed)
              return outOfRange("must be an IP number and port such as "
                                "\"127.0.0.1:7000\"");
            Field = *Parsed;
            return success();
          },
          /*Required=*/true};
}

KeyReader addressListKey(std::vector<Address> &Field) {
  return {[&Field](const toml::node &Node) -> ValueResult {
    const toml::array *List = Node.as_array();
    if (List == nullptr)
      return wrongType("a list of strings");
    if (List->size() > MaxListedAddresses)
      return outOfRange("must have at most 32 addresses");
    for (const toml::node &Element : *List) {
      auto Value = Element.value_exact<std::string>();
      std::optional<Address> Parsed;
      if (Value)
        Parsed = parseAddress(*Value);
      if (!Parsed)
        return outOfRange("must list IP numbers and ports such as "
                          "\"127.0.0.1:7100\"");
      Field.push_back(*Parsed);
    }
    return success();
  }};
}

KeyReader levelKey(LogLevel &Field) {
  return {[&Field](const toml::node &Node) -> ValueResult {
    auto Value = Node.value_exact<std::string>();
    if (!Value)
      return wrongType("a string");
    std::optional<LogLevel> Level = valueIn(LevelNames, *Value);
    if (!Level)
      return outOfRange("must be debug, info, warning or error");
    Field = *Level;
    return success();
  }};
}

KeyReader textKey(std::string &Field) {
  return {[&Field](const toml::node &Node) -> ValueResult {
    auto Value = Node.value_exact<std::string>();
    if (!Value)
      return wrongType("a string");
    Field = *Value;
    return success();
  }};
}

KeyReader boolKey(bool &Field) {
  return {[&Field](const toml::node &Node) -> ValueResult {
    auto Value = Node.value_exact<bool>();
    if (!Value)
      return wrongType("true or false");
    Field = *Value;
    return success();
  }};
}

// Reads an integer in [Low, High] and passes it to Store.
KeyReader integerKey(int64_t Low, int64_t High,
                     std::function<void(int64_t)> Store) {
  return {[=](const toml::node &Node) -> ValueResult {
    auto Value = Node.value_exact<int64_t>();
    if (!Value)
      return wrongType("an integer");
    if (*Value < Low || *Value > High)
      return outOfRange("must be from " + std::to_string(Low) + " to " +
                        std::to_string(High));
    Store(*Value);
    return success();
  }};
}

template <typename Number>
KeyReader numberKey(Number &Field, int64_t Low, int64_t High) {
  return integerKey(Low, High, [&Field](int64_t Value) {
    Field = static_cast<Number>(Value);
  });
}

KeyReader millisKey(Duration &Field, int64_t Low, int64_t High) {
  return integerKey(Low, High, [&Field](int64_t Value) {
    Field = std::chrono::milliseconds(Value);
  });
}

using KeyTable = std::map<std::string, KeyReader, std::less<>>;

KeyTable keysOf(Settings &S) {
  return {
      {"member.id", nameKey(S.Member.Id)},
      {"member.failure_domain", nameKey(S.Member.FailureDomain)},
      {"member.region", nameKey(S.Member.Region)},
      {"addresses.callers", addressKey(S.Addresses.Callers)},
      {"addresses.peers", addressKey(S.Addresses.Peers)},
      {"addresses.operators", addressKey(S.Addresses.Operators)},
      {"addresses.platform", addressKey(S.Addresses.Platform)},
      {"log.level", levelKey(S.Log.Level)},
      {"platform.calls_per_second",
       numberKey(S.Platform.CallsPerSecond, 1, 1000)},
      {"platform.burst", numberKey(S.Platform.Burst, 1, 1000)},
      {"platform.timeout_ms", millisKey(S.Platform.Timeout, 10, 60000)},
      {"config.watch_directly", boolKey(S.Config.WatchDirectly)},
      {"config.relays_per_domain", numberKey(S.Config.RelaysPerDomain, 1, 16)},
      {"membership.gossip_period_ms",
       millisKey(S.Membership.GossipPeriod, 20, 10000)},
      {"membership.probe_period_ms",
       millisKey(S.Membership.ProbePeriod, 50, 10000)},
      {"membership.announcement_lifetime_ms",
       millisKey(S.Membership.AnnouncementLifetime, 500, 60000)},
      {"membership.seeds", addressListKey(S.Membership.Seeds)},
      {"traffic.max_header_bytes",
       numberKey(S.Traffic.MaxHeaderBytes, 1024, 1 << 20)},
      {"traffic.max_body_bytes",
       numberKey(S.Traffic.MaxBodyBytes, 1024, 16 << 20)},
      {"traffic.queue_per_slot", numberKey(S.Traffic.QueuePerSlot, 0, 100)},
      {"traffic.connections_per_server",
       numberKey(S.Traffic.ConnectionsPerServer, 1, 10000)},
      {"traffic.drain_limit_ms", millisKey(S.Traffic.DrainLimit, 100, 600000)},
      {"operators.token", textKey(S.Operators.Token)},
  };
}

bool isSection(const KeyTable &Keys, const std::string &Name) {
  auto Next = Keys.lower_bound(Name + ".");
  return Next != Keys.end() && Next->first.starts_with(Name + ".");
}

int lineOf(const toml::node &Node) {
  return static_cast<int>(Node.source().begin.line);
}

using CheckResult = Result<void, SettingsError>;

CheckResult readKey(KeyTable &Keys, const std::string &Key,
                    const toml::node &Node, const std::string &File) {
  auto Found = Keys.find(Key);
  if (Found == Keys.end())
    return SettingsError{SettingsErrorCode::UnknownKey, File, lineOf(Node), Key,
                         "is not a known key"};
  ValueResult Read = Found->second.Read(Node);
  if (!Read)
    return SettingsError{Read.error().Code, File, lineOf(Node), Key,
                         Read.error().Message};
  Found->second.WasRead = true;
  return success();
}

CheckResult readSection(KeyTable &Keys, const std::string &Section,
                        const toml::table &Table, const std::string &File) {
  for (const auto &[Name, Node] : Table) {
    std::string Key = Section + "." + std::string(Name.str());
    CheckResult Read = readKey(Keys, Key, Node, File);
    if (!Read)
      return Read;
  }
  return success();
}

CheckResult readAll(KeyTable &Keys, const toml::table &Root,
                    const std::string &File) {
  for (const auto &[Name, Node] : Root) {
    std::string Section(Name.str());
    if (!isSection(Keys, Section))
      return SettingsError{SettingsErrorCode::UnknownKey, File, lineOf(Node),
                           Section, "is not a known section"};
    if (!Node.is_table())
      return SettingsError{SettingsErrorCode::WrongType, File, lineOf(Node),
                           Section, "must be a section"};
    CheckResult Read = readSection(Keys, Section, *Node.as_table(), File);
    if (!Read)
      return Read;
  }
  for (const auto &[Key, Reader] : Keys)
    if (Reader.Required && !Reader.WasRead)
      return SettingsError{SettingsErrorCode::Missing, File, 0, Key,
                           "is required"};
  return success();
}

} // namespace

std::string_view nameOf(SettingsErrorCode Code) {
  return nameIn(CodeNames, Code);
}

std::string SettingsError::text() const {
  std::string Text = "error=" + std::string(nameOf(Code)) + " file=" + File;
  if (Line > 0)
    Text += " line=" + std::to_string(Line);
  if (!Key.empty())
    Text += " key=" + Key;
  return Text + " message=\"" + Message + "\"";
}

Result<Settings, SettingsError> loadSettings(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    return SettingsError{SettingsErrorCode::Unreadable, File, 0, "",
                         "the file cannot be opened"};
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return parseSettings(Text.str(), File);
}

Result<Settings, SettingsError> parseSettings(std::string_view Text,
                                              const std::string &File) {
  toml::table Root;
  try {
    Root = toml::parse(Text, File);
  } catch (const toml::parse_error &Error) {
    return SettingsError{SettingsErrorCode::Syntax, File,
                         static_cast<int>(Error.source().begin.line), "",
                         std::string(Error.description())};
  }
  Settings Parsed;
  KeyTable Keys = keysOf(Parsed);
  CheckResult Read = readAll(Keys, Root, File);
  if (!Read)
    return Read.error();
  return Parsed;
}

} // namespace cyclamenwind
