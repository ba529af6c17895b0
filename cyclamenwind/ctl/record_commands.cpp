#include "cyclamenwind/ctl/commands.h"

namespace cyclamenwind::ctl {
namespace {

using nlohmann::json;

constexpr int Ok = 200;

// Returns the text of a value of any type; strings are not quoted.
std::string textOf(const json &Value) {
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

// Lists the audit trail; only entries of Action unless it is empty.
CommandResult listAuditTrail(const CommandLine &Line, DaemonClient &Client,
                             const std::string &Action) {
  std::string Target = "/api/audit?hours=" + std::to_string(Line.Hours) +
                       "&limit=" + std::to_string(Line.Limit);
  if (!Action.empty())
    Target += "&action=" + Action;
  DaemonResponse Response =
      sendRequest(Client, *Line.Daemon, {"GET", Target, {}, ""});
  if (Response.Status == 0)
    return Response.Failure;
  if (Response.Status != Ok)
    return unexpectedResponse(Response);
  const json &Body = Response.Body;
  std::string Text;
  for (const json &Entry : Body.value("entries", json::array()))
    Text += (Text.empty() ? "" : "\n") + entryLine(Entry);
  if (Text.empty())
    Text = "no entries in the last " + std::to_string(Line.Hours) + " hours";
  if (Action.empty())
    Text += dayLines(Body.value("days", json::array()));
  CommandResult Listing = {Done, Text, "", Body};
  if (!Body.value("complete", false)) {
    Listing.Status = Incomplete;
    Listing.Advice = "the platform did not answer for all entries, or an hour "
                     "held more than it keeps; try again later";
  }
  return Listing;
}

} // namespace

CommandResult history(const CommandLine &Line, DaemonClient &Client) {
  return listAuditTrail(Line, Client, "document_accepted");
}

CommandResult audit(const CommandLine &Line, DaemonClient &Client) {
  return listAuditTrail(Line, Client, "");
}

CommandResult rollouts(const CommandLine &Line, DaemonClient &Client) {
  DaemonResponse Response =
      sendRequest(Client, *Line.Daemon, {"GET", "/api/moves", {}, ""});
  if (Response.Status == 0)
    return Response.Failure;
  if (Response.Status != Ok)
    return unexpectedResponse(Response);
  std::string Text;
  for (const json &Rollout : Response.Body) {
    Text += Text.empty() ? "" : "\n";
    Text += textOf(Rollout.value("name", json("")));
    for (const auto &[Key, Value] : Rollout.items())
      if (Key != "name" && Value.is_primitive())
        Text += "\n  " + Key + ": " + textOf(Value);
  }
  return {Done,
          Text.empty() ? "no version moves" : Text,
          "",
          {{"moves", Response.Body}}};
}

CommandResult rollBack(const CommandLine &Line, DaemonClient &Client) {
  std::string Target =
      "/api/moves/take-back?name=" + percentEncoded(Line.Arguments[0]) +
      "&author=" + percentEncoded(Line.Author);
  DaemonResponse Response = sendRequest(
      Client, *Line.Daemon,
      {"POST", Target, {{"Authorization", "Bearer " + Line.Token}}, ""});
  if (Response.Status == 0)
    return Response.Failure;
  if (Response.Status != Ok) {
    CommandResult Failure = unexpectedResponse(Response);
    if (Failure.Advice.empty() || Response.Status == 404)
      Failure.Advice = "look at 'cyclamenctl moves' for the moves there are";
    return Failure;
  }
  return {Done, "move " + Line.Arguments[0] + " is being taken back",
          "see 'cyclamenctl moves' for its outcome", Response.Body};
}

} // namespace cyclamenwind::ctl
