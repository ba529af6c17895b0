#include "cyclamenwind/ctl/command_line.h"

#include "cyclamenwind/base/names.h"

#include <cstdlib>
#include <sstream>

#include <boost/program_options.hpp>

namespace cyclamenwind::ctl {
namespace {

namespace options = boost::program_options;

constexpr std::array<EnumName<CommandName>, 12> CommandNames = {{
    {CommandName::Validate, "validate"},
    {CommandName::Accept, "accept"},
    {CommandName::Diff, "diff"},
    {CommandName::Status, "status"},
    {CommandName::History, "history"},
    {CommandName::Audit, "audit"},
    {CommandName::Moves, "moves"},
    {CommandName::RollBack, "take-back"},
    {CommandName::Drain, "drain"},
    {CommandName::Explain, "explain"},
    {CommandName::Trace, "trace"},
    {CommandName::Wait, "wait"},
}};

// What a command takes and tells.
struct Usage {
  CommandName Command;
  size_t Arguments;
  const char *Takes;
  const char *Does;
  const char *Options; // Names of its own options, each between spaces.
};

constexpr std::array<Usage, 12> Usages = {{
    {CommandName::Validate, 1, "FILE", "check a document, without a daemon",
     ""},
    {CommandName::Accept, 1, "FILE", "accept a document as the next version",
     " author base operation "},
    {CommandName::Diff, 1, "FILE",
     "show what accepting a document would change", ""},
    {CommandName::Status, 0, "", "show what a daemon knows of the fleet", ""},
    {CommandName::History, 0, "", "list accepted documents, newest first",
     " hours limit "},
    {CommandName::Audit, 0, "", "list all entries of the audit trail",
     " hours limit "},
    {CommandName::Moves, 0, "", "list version moves and their outcome", ""},
    {CommandName::RollBack, 1, "MOVE", "take a version move back", " author "},
    {CommandName::Drain, 0, "", "let a daemon finish its calls and end", ""},
    {CommandName::Explain, 2, "METHOD PATH",
     "tell which backend servers a request would get", " caller-key "},
    {CommandName::Trace, 2, "ID FILE...",
     "show what daemons decided on a request, from their logs", ""},
    {CommandName::Wait, 0, "", "wait until a version is in force everywhere",
     " version members timeout-ms "},
}};

constexpr char Statuses[] =
    "Exit status: 0 done; 1 failed, nothing changed; 2 bad usage; 3 lost a\n"
    "race, nothing changed; 4 outcome unknown; 5 time ran out; 6 what is "
    "shown\n"
    "is not all.\n";

const Usage *usageOf(CommandName Command) {
  for (const Usage &Each : Usages)
    if (Each.Command == Command)
      return &Each;
  return nullptr;
}

std::string environment(const char *Name, const char *Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : Value;
}

struct Raw {
  CommandLine Line;
  std::string Daemon;
  std::string Output;
  int64_t TimeoutMs = 0;
  std::vector<std::string> Words;
};

// The options common to all commands, and those named in Own.
options::options_description visible(Raw &Given, const std::string &Own) {
  options::options_description Common("options");
  Common.add_options()("help,h", "show this text")(
      "daemon",
      options::value(&Given.Daemon)
          ->default_value(environment("CYCLAMENWIND_DAEMON", "")),
      "operators' address of any daemon; also CYCLAMENWIND_DAEMON")(
      "output", options::value(&Given.Output)->default_value("text"),
      "text or json");
  options::options_description All;
  CommandLine &Line = Given.Line;
  All.add_options()("author",
                    options::value(&Line.Author)
                        ->default_value(environment("USER", "operator")),
                    "who makes the change, for the audit trail")(
      "base", options::value<uint64_t>(),
      "version that the document was made from; if another one is in place, "
      "nothing is changed (0: none yet)")(
      "operation", options::value(&Line.OperationId),
      "id of this change; a repeated accept with the same id takes effect "
      "once")("hours", options::value(&Line.Hours)->default_value(24),
              "how far back, up to 168")(
      "limit", options::value(&Line.Limit)->default_value(200),
      "most entries to show")("caller-key", options::value(&Line.CallerKey),
                              "value of the header Cyclamenwind-Caller-Key")(
      "version", options::value(&Line.Version)->default_value(1),
      "version to wait for")("members",
                             options::value(&Line.Members)->default_value(1),
                             "least number of members to wait for")(
      "timeout-ms", options::value(&Given.TimeoutMs)->default_value(10000),
      "how long to wait");
  for (const auto &Each : All.options())
    if (Own.find(" " + Each->long_name() + " ") != std::string::npos)
      Common.add(Each);
  return Common;
}

std::string generalHelp() {
  std::ostringstream Text;
  Text << "usage: cyclamenctl COMMAND [options] [arguments]\n\n";
  for (const Usage &Each : Usages) {
    std::string Call =
        std::string(nameOf(Each.Command)) + " " + std::string(Each.Takes);
    Call.resize(24, ' ');
    Text << "  " << Call << Each.Does << "\n";
  }
  Text << "\n'cyclamenctl COMMAND --help' tells more. The token is read from "
          "the\nenvironment variable CYCLAMENWIND_TOKEN.\n"
       << Statuses;
  return Text.str();
}

std::string helpFor(const Usage &Command) {
  Raw Unused;
  std::ostringstream Text;
  Text << "usage: cyclamenctl " << nameOf(Command.Command) << " [options] "
       << Command.Takes << "\n\n"
       << Command.Does << "\n\n"
       << visible(Unused, Command.Options) << "\n"
       << Statuses;
  return Text.str();
}

UsageText bad(const std::string &Message, const std::string &Help) {
  return {false, "cyclamenctl: " + Message + "\n" + Help};
}

Result<CommandLine, UsageText> checked(Raw &Given, const Usage &Command) {
  CommandLine &Line = Given.Line;
  Line.Arguments.assign(Given.Words.begin() + 1, Given.Words.end());
  bool TakesMore = Line.Command == CommandName::Trace;
  if (Line.Arguments.size() < Command.Arguments ||
      (Line.Arguments.size() > Command.Arguments && !TakesMore))
    return bad(std::string(nameOf(Command.Command)) + " takes " +
                   (Command.Arguments == 0 ? "no argument" : Command.Takes),
               helpFor(Command));
  if (Given.Output != "text" && Given.Output != "json")
    return bad("--output is text or json", helpFor(Command));
  Line.Json = Given.Output == "json";
  Line.Daemon = parseAddress(Given.Daemon);
  bool AsksDaemon = Line.Command != CommandName::Validate &&
                    Line.Command != CommandName::Trace;
  if (!Line.Daemon && AsksDaemon)
    return bad("--daemon needs the operators' address of a daemon, such as "
               "127.0.0.1:7200",
               helpFor(Command));
  Line.Timeout = std::chrono::milliseconds(Given.TimeoutMs);
  Line.Token = environment("CYCLAMENWIND_TOKEN", "");
  return Line;
}

} // namespace

std::string_view nameOf(CommandName Command) {
  return nameIn(CommandNames, Command);
}

Result<CommandLine, UsageText> parseCommandLine(int Count,
                                                const char *const *Arguments) {
  if (Count < 2)
    return bad("a command is needed", generalHelp());
  std::string Word = Arguments[1];
  if (Word == "--help" || Word == "-h" || Word == "help")
    return UsageText{true, generalHelp()};
  std::optional<CommandName> Command = valueIn(CommandNames, Word);
  if (!Command)
    return bad("there is no command '" + Word + "'", generalHelp());
  const Usage &Found = *usageOf(*Command);
  Raw Given;
  Given.Line.Command = *Command;
  options::options_description Known = visible(Given, Found.Options);
  options::options_description Hidden;
  Hidden.add_options()("words", options::value(&Given.Words));
  options::options_description All;
  All.add(Known).add(Hidden);
  options::positional_options_description Positional;
  Positional.add("words", -1);
  try {
    options::variables_map Values;
    options::store(options::command_line_parser(Count, Arguments)
                       .options(All)
                       .positional(Positional)
                       .run(),
                   Values);
    if (Values.count("help") != 0)
      return UsageText{true, helpFor(Found)};
    options::notify(Values);
    if (Values.count("base") != 0)
      Given.Line.Base = Values["base"].as<uint64_t>();
  } catch (const options::error &Error) {
    return bad(Error.what(), helpFor(Found));
  }
  return checked(Given, Found);
}

} // namespace cyclamenwind::ctl
