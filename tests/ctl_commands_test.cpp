#include "cyclamenwind/ctl/commands.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace cyclamenwind;
using namespace cyclamenwind::ctl;
using nlohmann::json;

namespace {

using SendResult = Result<HttpResponse, HttpClientError>;

// Returns the results in order; repeats the last one.
class FakeDaemonClient final : public DaemonClient {
public:
  SendResult send(const Address &, const HttpRequest &Request) override {
    Requests.push_back(Request);
    SendResult Next = Results.front();
    if (Results.size() > 1)
      Results.pop_front();
    return Next;
  }
  TimePoint now() const override { return Now; }
  void sleepFor(Duration Span) override { Now += Span; }

  std::deque<SendResult> Results;
  std::vector<HttpRequest> Requests;
  TimePoint Now{};
};

struct RunResult {
  int Status = 0;
  std::string Out;
  std::string Errors;

  json data() const { return json::parse(Out); }
};

SendResult response(int Status, const std::string &Body) {
  return HttpResponse{Status, {}, Body};
}

RunResult runWith(FakeDaemonClient &Client, std::vector<const char *> Words) {
  setenv("CYCLAMENWIND_TOKEN", "hidden-token", 1);
  setenv("CYCLAMENWIND_DAEMON", "127.0.0.1:7200", 1);
  setenv("USER", "anna", 1);
  Words.insert(Words.begin(), "cyclamenctl");
  std::ostringstream Out;
  std::ostringstream Errors;
  RunResult Result;
  Result.Status =
      run(static_cast<int>(Words.size()), Words.data(), Client, Out, Errors);
  Result.Out = Out.str();
  Result.Errors = Errors.str();
  return Result;
}

RunResult runWith(const SendResult &Only, std::vector<const char *> Words) {
  FakeDaemonClient Client;
  Client.Results = {Only};
  return runWith(Client, std::move(Words));
}

std::string documentFile(const std::string &Text) {
  static int Number = 0;
  std::string File = (std::filesystem::temp_directory_path() /
                      ("ctl_commands_test-" + std::to_string(getpid()) + "-" +
                       std::to_string(++Number) + ".json"))
                         .string();
  std::ofstream(File) << Text;
  return File;
}

const char Good[] = R"({"services": [{"name": "quote", "version": "v1"}]})";

const std::array<std::vector<const char *>, 10> DaemonCommands = {{
    {"diff", nullptr},
    {"accept", nullptr},
    {"status"},
    {"history"},
    {"audit"},
    {"moves"},
    {"take-back", "m"},
    {"drain"},
    {"explain", "GET", "/x"},
    {"wait", "--timeout-ms", "50"},
}};

std::vector<const char *> withFile(std::vector<const char *> Words,
                                   const std::string &File) {
  for (const char *&Word : Words)
    if (Word == nullptr)
      Word = File.c_str();
  return Words;
}

} // namespace

TEST_CASE("each command has help, and a usage error sends no request") {
  for (const char *Command :
       {"validate", "accept", "diff", "status", "history", "audit", "moves",
        "take-back", "drain", "explain", "wait"}) {
    CAPTURE(Command);
    FakeDaemonClient Client;
    RunResult Help = runWith(Client, {Command, "--help"});
    CHECK(Help.Status == 0);
    CHECK(Help.Out.find("usage: cyclamenctl " + std::string(Command)) == 0);
    CHECK(Help.Out.find("Exit status") != std::string::npos);
    CHECK(runWith(Client, {Command, "--no-such"}).Status == BadUsage);
    CHECK(runWith(Client, {Command, "a", "b", "c"}).Status == BadUsage);
    CHECK(runWith(Client, {Command, "--output", "xml"}).Status == BadUsage);
    CHECK(Client.Requests.empty());
  }
  FakeDaemonClient Client;
  CHECK(runWith(Client, {}).Status == BadUsage);
  CHECK(runWith(Client, {"--help"}).Status == 0);
  CHECK(runWith(Client, {"no-such"}).Status == BadUsage);
  CHECK(runWith(Client, {"status", "--daemon", "nowhere"}).Status == BadUsage);
  CHECK(runWith(Client, {"status", "--base", "1"}).Status == BadUsage);
}

TEST_CASE("with an invalid response no command succeeds, prints the token or "
          "crashes") {
  std::string File = documentFile(Good);
  const std::vector<SendResult> Bad = {
      response(200, "not JSON"),
      response(500, "{\"error\": 7}"),
      response(200, "\"text\""),
      response(403, R"({"error": "no_token", "advice": "send it"})"),
      response(404, R"({"error": "no such path"})"),
      HttpClientError{HttpClientErrorCode::ConnectFailed, false},
      HttpClientError{HttpClientErrorCode::TimedOut, true}};
  for (const auto &Words : DaemonCommands)
    for (size_t I = 0; I < Bad.size(); ++I)
      for (bool Json : {false, true}) {
        CAPTURE(Words[0], I, Json);
        std::vector<const char *> Call = withFile(Words, File);
        if (Json)
          Call.insert(Call.end(), {"--output", "json"});
        RunResult Result = runWith(Bad[I], Call);
        CHECK(Result.Status != 0);
        CHECK((Result.Out + Result.Errors).find("hidden-token") ==
              std::string::npos);
        if (Json)
          CHECK(Result.data().at("exit_status") == Result.Status);
        else
          CHECK(!Result.Errors.empty());
      }
  std::remove(File.c_str());
}

TEST_CASE("a write whose response was lost is reported as outcome unknown") {
  std::string File = documentFile(Good);
  SendResult Lost = HttpClientError{HttpClientErrorCode::ConnectionLost, true};
  RunResult Result =
      runWith(Lost, {"accept", File.c_str(), "--operation", "op-9"});
  CHECK(Result.Status == OutcomeUnknown);
  CHECK(Result.Errors.find("--operation op-9") != std::string::npos);
  CHECK(runWith(Lost, {"drain"}).Status == OutcomeUnknown);
  CHECK(runWith(Lost, {"status"}).Status == Failed);
  SendResult Refused =
      HttpClientError{HttpClientErrorCode::ConnectFailed, false};
  CHECK(runWith(Refused, {"accept", File.c_str()}).Status == Failed);
  CHECK(runWith(response(503, R"({"error": "unknown", "operation": "a"})"),
                {"accept", File.c_str()})
            .Status == OutcomeUnknown);
  CHECK(runWith(response(503, R"({"error": "not_written"})"),
                {"accept", File.c_str()})
            .Status == Failed);
  std::remove(File.c_str());
}

TEST_CASE(
    "accept sends the document, author and token, and prints the version") {
  std::string File = documentFile(Good);
  FakeDaemonClient Client;
  Client.Results = {response(200, R"({"version": 7})")};
  RunResult Result = runWith(Client, {"accept", File.c_str(), "--base", "6",
                                      "--author", "Anna & Ben"});
  CHECK(Result.Status == 0);
  CHECK(Result.Out == "accepted as version 7\n");
  const HttpRequest &Sent = Client.Requests.at(0);
  CHECK(Sent.queryValue("author") == "Anna & Ben");
  CHECK(Sent.queryValue("base") == "6");
  CHECK(Sent.Body == Good);
  CHECK(*findHeader(Sent.Headers, "Authorization") == "Bearer hidden-token");
  std::remove(File.c_str());
}

TEST_CASE("a version conflict reports the current version, its author, the "
          "differences and advice") {
  std::string File = documentFile(Good);
  const char Body[] = R"({"error": "conflict",
    "present": {"version": 8, "author": "ben", "written": "2026-08-01"},
    "differences": [{"change": "changed", "resource": "route",
                     "name": "submit",
                     "fields": [{"field": "/deadline_ms", "from": "500",
                                 "to": "600"}]}]})";
  RunResult Text = runWith(response(409, Body), {"accept", File.c_str()});
  CHECK(Text.Status == LostRace);
  for (const char *Part : {"version 8", "accepted by ben", "route submit",
                           "/deadline_ms: 500 -> 600", "--base 8"})
    CHECK(Text.Errors.find(Part) != std::string::npos);
  RunResult Json = runWith(response(409, Body),
                           {"accept", File.c_str(), "--output", "json"});
  CHECK(Json.data().at("status") == "lost_race");
  CHECK(Json.data().at("present").at("author") == "ben");
  CHECK(runWith(response(409, R"({"error": "conflict"})"),
                {"accept", File.c_str()})
            .Status == LostRace);
  std::remove(File.c_str());
}

TEST_CASE("validate needs no daemon and lists errors with their paths") {
  std::string File = documentFile(R"({"services": [{"name": "a b"}]})");
  FakeDaemonClient Client;
  RunResult Result =
      runWith(Client, {"validate", File.c_str(), "--output=json"});
  CHECK(Result.Status == Failed);
  CHECK(Result.data().at("errors").at(0).at("path") == "/services/0/name");
  CHECK(runWith(Client, {"validate", "/no/such/file"}).Status == Failed);
  CHECK(Client.Requests.empty());
  std::remove(File.c_str());
}

TEST_CASE(
    "wait counts the members that applied the version, from member records and "
    "from version counts") {
  FakeDaemonClient Client;
  Client.Results = {
      response(200, R"({"members": [
        {"id": "a", "state": "alive", "config_version": 2},
        {"id": "b", "state": "alive", "config_version": 1},
        {"id": "c", "state": "dead", "config_version": 1}]})"),
      response(200, R"({"standing": [
        {"counts": {"1": 1, "2": 3}, "unknown": 1}]})"),
      response(200, R"({"standing": [{"counts": {"2": 4, "3": 1}}]})")};
  RunResult Result =
      runWith(Client, {"wait", "--version", "2", "--members", "5"});
  CHECK(Result.Status == 0);
  CHECK(Result.Out.find("in force on 5 of 5, version 2") == 0);
  CHECK(Result.Errors.find("in force on 1 of 2") != std::string::npos);
  CHECK(Result.Errors.find("in force on 3 of 5") != std::string::npos);
  RunResult Late = runWith(response(200, R"({"standing": [{"counts": {"1": 1},
        "laggards": [{"member": "slow-one"}]}]})"),
                           {"wait", "--version", "2", "--timeout-ms", "200"});
  CHECK(Late.Status == TimedOut);
  CHECK(Late.Errors.find("slow-one") != std::string::npos);
}

TEST_CASE("history, audit and moves list the records that the daemon returns") {
  const char Trail[] = R"({"complete": true, "entries": [
    {"time": "T", "actor": "anna", "action": "document_accepted",
     "subject": "document", "to": "3", "from": "2", "outcome": "done",
     "detail": "digest=1", "pending": true}],
    "days": [{"day": "2026-08-01", "lines": [{"actor": "ben",
      "action": "document_accepted", "outcome": "done", "count": 9,
      "last_to": "2"}]}]})";
  FakeDaemonClient Client;
  Client.Results = {response(200, Trail)};
  RunResult History = runWith(Client, {"history", "--hours", "3"});
  CHECK(History.Status == 0);
  CHECK(Client.Requests.at(0).queryValue("action") == "document_accepted");
  CHECK(Client.Requests.at(0).queryValue("hours") == "3");
  CHECK(History.Out.find("T anna document_accepted document 2 -> 3 done "
                         "(digest=1) [not on the platform yet]") == 0);
  CHECK(runWith(Client, {"audit"}).Out.find("ben document_accepted done: 9") !=
        std::string::npos);
  RunResult Partial = runWith(
      response(200, R"({"complete": false, "entries": []})"), {"audit"});
  CHECK(Partial.Status == Incomplete);
  CHECK(Partial.Out.find("no entries") == 0);
  RunResult Rollouts = runWith(
      response(200, R"([{"name": "m", "state": "running", "share": 5}])"),
      {"moves"});
  CHECK(Rollouts.Out == "m\n  share: 5\n  state: running\n");
  CHECK(runWith(response(200, "[]"), {"moves"}).Out == "no version moves\n");
  CHECK(
      runWith(response(404, R"({"error": "no such move"})"), {"take-back", "m"})
          .Errors.find("cyclamenctl moves") != std::string::npos);
}
