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
    {CommandName::Rollouts, "moves"},
    {CommandName::RollBack, "take-back"},
    {CommandName::Drain, "drain"},
    {CommandName::Explain, "explain"},
    {CommandName::Trace, "trace"},
    {CommandName::Wait, "wait"},
}};

// Syntax and help of one command.
struct CommandSyntax {
  CommandName Command;
  size_t ArgumentCount; // The minimum for trace, the exact number otherwise.
  const char *ArgumentText;
  const char *Description;
  const char *OptionNames; // Without the common options; each between spaces.
};

constexpr std::array<CommandSyntax, 12> CommandSyntaxes = {{
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
    {CommandName::Rollouts, 0, "", "list version moves and their outcome", ""},
    {CommandName::RollBack, 1, "MOVE", "take a version move back", " author "},
    {CommandName::Drain, 0, "", "let a daemon finish its calls and end", ""},
    {CommandName::Explain, 2, "METHOD PATH",
     "tell which backend servers a request would get", " caller-key "},
    {CommandName::Trace, 2, "ID FILE...",
     "show what daemons decided on a request, from their logs", ""},
    {CommandName::Wait, 0, "", "wait until a version is in force everywhere",
     " version members timeout-ms "},
}};

constexpr char ExitStatusHelp[] =
    "Exit status: 0 done; 1 failed, nothing changed; 2 bad usage; 3 lost a\n"
    "race, nothing changed; 4 outcome unknown; 5 time ran out; 6 what is "
    "shown\n"
    "is not all.\n";

const CommandSyntax *syntaxOf(CommandName Command) {
  for (const CommandSyntax &Syntax : CommandSyntaxes)
    if (Syntax.Command == Command)
      return &Syntax;
  return nullptr;
}

std::string environment(const char *Name, const char *Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : Value;
}

// Values as boost::program_options stores them, before they are checked.
struct RawCommandLine {
  CommandLine Line;
  std::string Daemon;
  std::string Output;
  int64_t TimeoutMs = 0;
  std::vector<std::string> Words; // The command and its arguments.
};

// Returns the options of all commands and those in OptionNames. They store
// their values in Raw.
options::options_description visibleOptions(RawCommandLine &Raw,
                                            const std::string &OptionNames) {
  options::options_description Common("options");
  Common.add_options()("help,h", "show this text")(
      "daemon",
      options::value(&Raw.Daemon)
          ->default_value(environment("CYCLAMENWIND_DAEMON", "")),
      "operators' address of any daemon; also CYCLAMENWIND_DAEMON")(
      "output", options::value(&Raw.Output)->default_value("text"),
      "text or json");
  options::options_description All;
  CommandLine &Line = Raw.Line;
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
      "timeout-ms", options::value(&Raw.TimeoutMs)->default_value(10000),
      "how long to wait");
  for (const auto &Option : All.options())
    if (OptionNames.find(" " + Option->long_name() + " ") != std::string::npos)
      Common.add(Option);
  return Common;
}

std::string generalHelp() {
  std::ostringstream Text;
  Text << "usage: cyclamenctl COMMAND [options] [arguments]\n\n";
  for (const CommandSyntax &Syntax : CommandSyntaxes) {
    std::string Invocation = std::string(nameOf(Syntax.Command)) + " " +
                             std::string(Syntax.ArgumentText);
    Invocation.resize(24, ' ');
    Text << "  " << Invocation << Syntax.Description << "\n";
  }
  Text << "\n'cyclamenctl COMMAND --help' tells more. The token is read from "
          "the\nenvironment variable CYCLAMENWIND_TOKEN.\n"
       << ExitStatusHelp;
  return Text.str();
}

std::string helpFor(const CommandSyntax &Syntax) {
  RawCommandLine Unused;
  std::ostringstream Text;
  Text << "usage: cyclamenctl " << nameOf(Syntax.Command) << " [options] "
       << Syntax.ArgumentText << "\n\n"
       << Syntax.Description << "\n\n"
       << visibleOptions(Unused, Syntax.OptionNames) << "\n"
       << ExitStatusHelp;
  return Text.str();
}

UsageText usageError(const std::string &Message, const std::string &Help) {
  return {false, "cyclamenctl: " + Message + "\n" + Help};
}

Result<CommandLine, UsageText> checkCommandLine(RawCommandLine &Raw,
                                                const CommandSyntax &Syntax) {
  CommandLine &Line = Raw.Line;
  Line.Arguments.assign(Raw.Words.begin() + 1, Raw.Words.end());
  bool Variadic = Line.Command == CommandName::Trace;
  if (Line.Arguments.size() < Syntax.ArgumentCount ||
      (Line.Arguments.size() > Syntax.ArgumentCount && !Variadic))
    return usageError(
        std::string(nameOf(Syntax.Command)) + " takes " +
            (Syntax.ArgumentCount == 0 ? "no argument" : Syntax.ArgumentText),
        helpFor(Syntax));
  if (Raw.Output != "text" && Raw.Output != "json")
    return usageError("--output is text or json", helpFor(Syntax));
  Line.Json = Raw.Output == "json";
  Line.Daemon = parseAddress(Raw.Daemon);
  bool NeedsDaemon = Line.Command != CommandName::Validate &&
                     Line.Command != CommandName::Trace;
  if (!Line.Daemon && NeedsDaemon)
    return usageError(
        "--daemon needs the operators' address of a daemon, such as "
        "127.0.0.1:7200",
        helpFor(Syntax));
  Line.Timeout = std::chrono::milliseconds(Raw.TimeoutMs);
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
    return usageError("a command is needed", generalHelp());
  std::string Name = Arguments[1];
  if (Name == "--help" || Name == "-h" || Name == "help")
    return UsageText{true, generalHelp()};
  std::optional<CommandName> Command = valueIn(CommandNames, Name);
  if (!Command)
    return usageError("there is no command '" + Name + "'", generalHelp());
  const CommandSyntax &Syntax = *syntaxOf(*Command);
  RawCommandLine Raw;
  Raw.Line.Command = *Command;
  options::options_description Visible =
      visibleOptions(Raw, Syntax.OptionNames);
  options::options_description Hidden;
  Hidden.add_options()("words", options::value(&Raw.Words));
  options::options_description All;
  All.add(Visible).add(Hidden);
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
      return UsageText{true, helpFor(Syntax)};
    options::notify(Values);
    if (Values.count("base") != 0)
      Raw.Line.Base = Values["base"].as<uint64_t>();
  } catch (const options::error &Error) {
    return usageError(Error.what(), helpFor(Syntax));
  }
  return checkCommandLine(Raw, Syntax);
}

} // namespace cyclamenwind::ctl
