#include "cyclamenwind/ctl/commands.h"

#include <ostream>

namespace cyclamenwind::ctl {
namespace {

using nlohmann::json;

constexpr int Ok = 200;
constexpr Duration PollPeriod = 20ms;

// How many members have a version in force.
struct Progress {
  size_t Members = 0;
  size_t InForce = 0;
  std::string Lagging; // Some of the others.

  bool operator==(const Progress &) const = default;
};

// From the sums of the failure domains.
Progress progressOfSums(const json &Sums, uint64_t Version) {
  Progress Seen;
  for (const json &Sum : Sums) {
    Seen.Members += Sum.value("unknown", size_t(0));
    const json Counts = Sum.value("counts", json::object());
    for (const auto &[Text, Count] : Counts.items()) {
      Seen.Members += Count.get<size_t>();
      if (std::stoull(Text) >= Version)
        Seen.InForce += Count.get<size_t>();
    }
    for (const json &Each : Sum.value("laggards", json::array()))
      Seen.Lagging += " " + Each.value("member", "");
  }
  return Seen;
}

// From the members' own records.
Progress progressOfMembers(const json &Members, uint64_t Version) {
  Progress Seen;
  for (const json &Each : Members) {
    if (Each.value("state", "") != "alive")
      continue;
    ++Seen.Members;
    if (Each.value("config_version", uint64_t(0)) >= Version)
      ++Seen.InForce;
    else
      Seen.Lagging += " " + Each.value("id", "");
  }
  return Seen;
}

Progress progressOf(const json &Status, uint64_t Version) {
  if (Status.contains("standing"))
    return progressOfSums(Status.at("standing"), Version);
  return progressOfMembers(Status.value("members", json::array()), Version);
}

std::string textOf(const Progress &Seen, uint64_t Version) {
  return "version " + std::to_string(Version) + " is in force on " +
         std::to_string(Seen.InForce) + " of " + std::to_string(Seen.Members);
}

json jsonOf(const Progress &Seen, uint64_t Version) {
  return {{"version", Version},
          {"in_force", Seen.InForce},
          {"members", Seen.Members}};
}

std::string summaryOf(const json &Status) {
  std::map<std::string, size_t> States;
  size_t Servers = 0;
  for (const json &Each : Status.value("members", json::array())) {
    ++States[Each.value("state", "")];
    Servers += Each.value("servers", json::array()).size();
  }
  uint64_t Version = Status.value("config_version", uint64_t(0));
  std::string Text = "daemon " + Status.value("member", "") + " in " +
                     Status.value("failure_domain", "") +
                     "\nversion in force: " + std::to_string(Version) +
                     "\nbackend servers: " + std::to_string(Servers) +
                     "\nmembers:";
  for (const auto &[State, Count] : States)
    Text += " " + std::to_string(Count) + " " + State;
  return Text + "\n" + textOf(progressOf(Status, Version), Version);
}

} // namespace

CommandResult status(const CommandLine &Line, Connection &Link) {
  Reply Received = ask(Link, *Line.Daemon, {"GET", "/status", {}, ""});
  if (Received.Status == 0)
    return Received.Problem;
  if (Received.Status != Ok)
    return unexpected(Received);
  return {Done, summaryOf(Received.Body), "", {{"daemon", Received.Body}}};
}

CommandResult drain(const CommandLine &Line, Connection &Link) {
  Reply Received = ask(
      Link, *Line.Daemon,
      {"POST", "/api/drain", {{"Authorization", "Bearer " + Line.Token}}, ""});
  if (Received.Status == 0)
    return Received.Problem;
  if (Received.Status != Ok)
    return unexpected(Received);
  std::string Text = Received.Body.value("already", false)
                         ? "the daemon is draining already"
                         : "the daemon drains and ends when its calls have";
  return {Done, Text, "", Received.Body};
}

CommandResult explain(const CommandLine &Line, Connection &Link) {
  std::string Target = "/api/explain?method=" + escaped(Line.Arguments[0]) +
                       "&path=" + escaped(Line.Arguments[1]) +
                       "&caller_key=" + escaped(Line.CallerKey);
  Reply Received = ask(Link, *Line.Daemon, {"GET", Target, {}, ""});
  if (Received.Status == 0)
    return Received.Problem;
  if (Received.Status != Ok)
    return unexpected(Received);
  const json &Body = Received.Body;
  std::string Text = Body.value("why", "");
  if (Body.contains("service")) {
    const json &Route = Body.at("route");
    Text = "route " + Route.value("name", "") + " (" +
           Route.value("method", "") + " " + Route.value("path_prefix", "") +
           "), service " + Body.value("service", "") + ", version " +
           Body.value("version", "") + "\n" + Text;
    for (const json &Each : Body.value("candidates", json::array()))
      Text += "\n  " + Each.value("member", "") + " in " +
              Each.value("failure_domain", "") + ", " +
              Each.value("version", "") + ": " + Each.value("why", "");
  }
  return {Done, Text, "", Body};
}

CommandResult waitInForce(const CommandLine &Line, Connection &Link,
                          std::ostream &Lines) {
  TimePoint Begun = Link.now();
  Progress Seen;
  CommandResult LastProblem;
  while (Link.now() - Begun < Line.Timeout) {
    Reply Received = ask(Link, *Line.Daemon, {"GET", "/status", {}, ""});
    LastProblem = Received.Problem;
    Progress Present = Seen;
    if (Received.Status == Ok)
      Present = progressOf(Received.Body, Line.Version);
    if (Present != Seen && !Line.Json)
      Lines << textOf(Present, Line.Version) << "\n";
    Seen = Present;
    bool All = Seen.Members > 0 && Seen.InForce == Seen.Members;
    if (All && Seen.Members >= Line.Members) {
      int64_t Taken = milliseconds(Link.now() - Begun);
      json Data = jsonOf(Seen, Line.Version);
      Data["after_ms"] = Taken;
      return {Done,
              "in force on " + std::to_string(Seen.InForce) + " of " +
                  std::to_string(Seen.Members) + ", version " +
                  std::to_string(Line.Version) + ", after " +
                  std::to_string(Taken) + " ms",
              "", Data};
    }
    Link.sleepFor(PollPeriod);
  }
  CommandResult Late;
  Late.Status = TimedOut;
  Late.Text = textOf(Seen, Line.Version) + " after " +
              std::to_string(milliseconds(Line.Timeout)) + " ms";
  if (!LastProblem.Text.empty())
    Late.Text += "; " + LastProblem.Text;
  Late.Next = Seen.Lagging.empty()
                  ? "look at 'cyclamenctl status', or wait longer with "
                    "--timeout-ms"
                  : "look at the daemons that lag:" + Seen.Lagging;
  Late.Data = jsonOf(Seen, Line.Version);
  return Late;
}

} // namespace cyclamenwind::ctl
