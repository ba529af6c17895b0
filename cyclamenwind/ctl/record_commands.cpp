#include "cyclamenwind/ctl/commands.h"

namespace cyclamenwind::ctl {
namespace {

using nlohmann::json;

constexpr int Ok = 200;

// Text of a value of any type.
std::string shown(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string entryLine(const json &Entry) {
  std::string Line = Entry.value("time", "") + " " + Entry.value("actor", "") +
                     " " + Entry.value("action", "") + " " +
                     Entry.value("subject", "");
  std::string From = Entry.value("from", "");
  std::string To = Entry.value("to", "");
  if (!From.empty() || !To.empty())
    Line += " " + (From.empty() ? "none" : From) + " -> " +
            (To.empty() ? "none" : To);
  Line += " " + Entry.value("outcome", "");
  std::string Detail = Entry.value("detail", "");
  if (!Detail.empty())
    Line += " (" + Detail + ")";
  if (Entry.value("pending", false))
    Line += " [not on the platform yet]";
  return Line;
}

std::string dayLines(const json &Days) {
  std::string Text;
  for (const json &Day : Days)
    for (const json &Line : Day.value("lines", json::array()))
      Text += "\n" + Day.value("day", "") + " " + Line.value("actor", "") +
              " " + Line.value("action", "") + " " + Line.value("outcome", "") +
              ": " + std::to_string(Line.value("count", uint64_t(0))) +
              ", the last to " + Line.value("last_to", "");
  return Text;
}

CommandResult trail(const CommandLine &Line, Connection &Link,
                    const std::string &Action) {
  std::string Target = "/api/audit?hours=" + std::to_string(Line.Hours) +
                       "&limit=" + std::to_string(Line.Limit);
  if (!Action.empty())
    Target += "&action=" + Action;
  Reply Received = ask(Link, *Line.Daemon, {"GET", Target, {}, ""});
  if (Received.Status == 0)
    return Received.Problem;
  if (Received.Status != Ok)
    return unexpected(Received);
  const json &Body = Received.Body;
  std::string Text;
  for (const json &Each : Body.value("entries", json::array()))
    Text += (Text.empty() ? "" : "\n") + entryLine(Each);
  if (Text.empty())
    Text = "no entries in the last " + std::to_string(Line.Hours) + " hours";
  if (Action.empty())
    Text += dayLines(Body.value("days", json::array()));
  CommandResult Listed = {Done, Text, "", Body};
  if (!Body.value("complete", false)) {
    Listed.Status = Incomplete;
    Listed.Next = "the platform did not answer for all entries, or an hour "
                  "held more than it keeps; try again later";
  }
  return Listed;
}

} // namespace

CommandResult history(const CommandLine &Line, Connection &Link) {
  return trail(Line, Link, "document_accepted");
}

CommandResult audit(const CommandLine &Line, Connection &Link) {
  return trail(Line, Link, "");
}

CommandResult moves(const CommandLine &Line, Connection &Link) {
  Reply Received = ask(Link, *Line.Daemon, {"GET", "/api/moves", {}, ""});
  if (Received.Status == 0)
    return Received.Problem;
  if (Received.Status != Ok)
    return unexpected(Received);
  std::string Text;
  for (const json &Move : Received.Body) {
    Text += Text.empty() ? "" : "\n";
    Text += shown(Move.value("name", json("")));
    for (const auto &[Key, Value] : Move.items())
      if (Key != "name" && Value.is_primitive())
        Text += "\n  " + Key + ": " + shown(Value);
  }
  return {Done,
          Text.empty() ? "no version moves" : Text,
          "",
          {{"moves", Received.Body}}};
}

CommandResult takeBack(const CommandLine &Line, Connection &Link) {
  std::string Target =
      "/api/moves/take-back?name=" + escaped(Line.Arguments[0]) +
      "&author=" + escaped(Line.Author);
  Reply Received =
      ask(Link, *Line.Daemon,
          {"POST", Target, {{"Authorization", "Bearer " + Line.Token}}, ""});
  if (Received.Status == 0)
    return Received.Problem;
  if (Received.Status != Ok) {
    CommandResult Problem = unexpected(Received);
    if (Problem.Next.empty() || Received.Status == 404)
      Problem.Next = "look at 'cyclamenctl moves' for the moves there are";
    return Problem;
  }
  return {Done, "move " + Line.Arguments[0] + " is being taken back",
          "see 'cyclamenctl moves' for its outcome", Received.Body};
}

} // namespace cyclamenwind::ctl
