#include "cyclamenwind/ctl/commands.h"

#include <ostream>

namespace cyclamenwind::ctl {
namespace {

using nlohmann::json;

constexpr int Ok = 200;
constexpr Duration PollPeriod = 20ms;

// Number of members that have applied a version.
struct VersionProgress {
  size_t Members = 0;
  size_t Applied = 0;
  std::string Lagging; // Ids of some of the others, each after a space.

  bool operator==(const VersionProgress &) const = default;
};

// Adds up the version counts of the failure domains.
VersionProgress progressFromCounts(const json &Domains, uint64_t Version) {
  VersionProgress Progress;
  for (const json &DomainCounts : Domains) {
    Progress.Members += DomainCounts.value("unknown", size_t(0));
    const json Counts = DomainCounts.value("counts", json::object());
    for (const auto &[VersionText, Count] : Counts.items()) {
      Progress.Members += Count.get<size_t>();
      if (std::stoull(VersionText) >= Version)
        Progress.Applied += Count.get<size_t>();
    }
    for (const json &Laggard : DomainCounts.value("laggards", json::array()))
      Progress.Lagging += " " + Laggard.value("member", "");
  }
  return Progress;
}

// Counts the members in state alive, with the versions in their records.
VersionProgress progressFromMembers(const json &Members, uint64_t Version) {
  VersionProgress Progress;
  for (const json &Member : Members) {
    if (Member.value("state", "") != "alive")
      continue;
    ++Progress.Members;
    if (Member.value("config_version", uint64_t(0)) >= Version)
      ++Progress.Applied;
    else
      Progress.Lagging += " " + Member.value("id", "");
  }
  return Progress;
}

VersionProgress progressOf(const json &Status, uint64_t Version) {
  if (Status.contains("standing"))
    return progressFromCounts(Status.at("standing"), Version);
  return progressFromMembers(Status.value("members", json::array()), Version);
}

std::string textOf(const VersionProgress &Progress, uint64_t Version) {
  return "version " + std::to_string(Version) + " is in force on " +
         std::to_string(Progress.Applied) + " of " +
         std::to_string(Progress.Members);
}

json jsonOf(const VersionProgress &Progress, uint64_t Version) {
  return {{"version", Version},
          {"in_force", Progress.Applied},
          {"members", Progress.Members}};
}

std::string summaryOf(const json &Status) {
  std::map<std::string, size_t> States;
  size_t Servers = 0;
  for (const json &Member : Status.value("members", json::array())) {
    ++States[Member.value("state", "")];
    Servers += Member.value("servers", json::array()).size();
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

CommandResult status(const CommandLine &Line, DaemonClient &Client) {
  DaemonResponse Response =
      sendRequest(Client, *Line.Daemon, {"GET", "/status", {}, ""});
  if (Response.Status == 0)
    return Response.Failure;
  if (Response.Status != Ok)
    return unexpectedResponse(Response);
  return {Done, summaryOf(Response.Body), "", {{"daemon", Response.Body}}};
}

CommandResult drain(const CommandLine &Line, DaemonClient &Client) {
  DaemonResponse Response = sendRequest(
      Client, *Line.Daemon,
      {"POST", "/api/drain", {{"Authorization", "Bearer " + Line.Token}}, ""});
  if (Response.Status == 0)
    return Response.Failure;
  if (Response.Status != Ok)
    return unexpectedResponse(Response);
  std::string Text = Response.Body.value("already", false)
                         ? "the daemon is draining already"
                         : "the daemon drains and ends when its calls have";
  return {Done, Text, "", Response.Body};
}

CommandResult explain(const CommandLine &Line, DaemonClient &Client) {
  std::string Target =
      "/api/explain?method=" + percentEncoded(Line.Arguments[0]) +
      "&path=" + percentEncoded(Line.Arguments[1]) +
      "&caller_key=" + percentEncoded(Line.CallerKey);
  DaemonResponse Response =
      sendRequest(Client, *Line.Daemon, {"GET", Target, {}, ""});
  if (Response.Status == 0)
    return Response.Failure;
  if (Response.Status != Ok)
    return unexpectedResponse(Response);
  const json &Body = Response.Body;
  std::string Text = Body.value("why", "");
  if (Body.contains("service")) {
    const json &Route = Body.at("route");
    Text = "route " + Route.value("name", "") + " (" +
           Route.value("method", "") + " " + Route.value("path_prefix", "") +
           "), service " + Body.value("service", "") + ", version " +
           Body.value("version", "") + "\n" + Text;
    for (const json &Candidate : Body.value("candidates", json::array()))
      Text += "\n  " + Candidate.value("member", "") + " in " +
              Candidate.value("failure_domain", "") + ", " +
              Candidate.value("version", "") + ": " +
              Candidate.value("why", "");
  }
  return {Done, Text, "", Body};
}

CommandResult waitUntilApplied(const CommandLine &Line, DaemonClient &Client,
                               std::ostream &ProgressOut) {
  TimePoint Started = Client.now();
  VersionProgress Last;
  CommandResult LastFailure;
  while (Client.now() - Started < Line.Timeout) {
    DaemonResponse Response =
        sendRequest(Client, *Line.Daemon, {"GET", "/status", {}, ""});
    LastFailure = Response.Failure;
    VersionProgress Current = Last;
    if (Response.Status == Ok)
      Current = progressOf(Response.Body, Line.Version);
    if (Current != Last && !Line.Json)
      ProgressOut << textOf(Current, Line.Version) << "\n";
    Last = Current;
    bool AllApplied = Last.Members > 0 && Last.Applied == Last.Members;
    if (AllApplied && Last.Members >= Line.Members) {
      int64_t ElapsedMs = milliseconds(Client.now() - Started);
      json Data = jsonOf(Last, Line.Version);
      Data["after_ms"] = ElapsedMs;
      return {Done,
              "in force on " + std::to_string(Last.Applied) + " of " +
                  std::to_string(Last.Members) + ", version " +
                  std::to_string(Line.Version) + ", after " +
                  std::to_string(ElapsedMs) + " ms",
              "", Data};
    }
    Client.sleepFor(PollPeriod);
  }
  CommandResult TimeoutResult;
  TimeoutResult.Status = TimedOut;
  TimeoutResult.Text = textOf(Last, Line.Version) + " after " +
                       std::to_string(milliseconds(Line.Timeout)) + " ms";
  if (!LastFailure.Text.empty())
    TimeoutResult.Text += "; " + LastFailure.Text;
  TimeoutResult.Advice =
      Last.Lagging.empty()
          ? "look at 'cyclamenctl status', or wait longer with "
            "--timeout-ms"
          : "look at the daemons that lag:" + Last.Lagging;
  TimeoutResult.Data = jsonOf(Last, Line.Version);
  return TimeoutResult;
}

} // namespace cyclamenwind::ctl
