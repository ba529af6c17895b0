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

using Answer = Result<HttpResponse, HttpClientError>;

// A daemon that gives prepared answers; the last one is repeated.
class PreparedConnection final : public Connection {
public:
  Answer send(const Address &, const HttpRequest &Request) override {
    Requests.push_back(Request);
    Answer Next = Answers.front();
    if (Answers.size() > 1)
      Answers.pop_front();
    return Next;
  }
  TimePoint now() const override { return Now; }
  void sleepFor(Duration Span) override { Now += Span; }

  std::deque<Answer> Answers;
  std::vector<HttpRequest> Requests;
  TimePoint Now{};
};

struct Ended {
  int Status = 0;
  std::string Out;
  std::string Errors;

  json data() const { return json::parse(Out); }
};

Answer response(int Status, const std::string &Body) {
  return HttpResponse{Status, {}, Body};
}

Ended runWith(PreparedConnection &Link, std::vector<const char *> Words) {
  setenv("CYCLAMENWIND_TOKEN", "hidden-token", 1);
  setenv("CYCLAMENWIND_DAEMON", "127.0.0.1:7200", 1);
  setenv("USER", "anna", 1);
  Words.insert(Words.begin(), "cyclamenctl");
  std::ostringstream Out;
  std::ostringstream Errors;
  Ended Result;
  Result.Status =
      run(static_cast<int>(Words.size()), Words.data(), Link, Out, Errors);
  Result.Out = Out.str();
  Result.Errors = Errors.str();
  return Result;
}

Ended runWith(const Answer &Only, std::vector<const char *> Words) {
  PreparedConnection Link;
  Link.Answers = {Only};
  return runWith(Link, std::move(Words));
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
  for (const char *&Each : Words)
    if (Each == nullptr)
      Each = File.c_str();
  return Words;
}

} // namespace

TEST_CASE("each command has help, and bad usage sends nothing") {
  for (const char *Command :
       {"validate", "accept", "diff", "status", "history", "audit", "moves",
        "take-back", "drain", "explain", "wait"}) {
    CAPTURE(Command);
    PreparedConnection Link;
    Ended Help = runWith(Link, {Command, "--help"});
    CHECK(Help.Status == 0);
    CHECK(Help.Out.find("usage: cyclamenctl " + std::string(Command)) == 0);
    CHECK(Help.Out.find("Exit status") != std::string::npos);
    CHECK(runWith(Link, {Command, "--no-such"}).Status == BadUsage);
    CHECK(runWith(Link, {Command, "a", "b", "c"}).Status == BadUsage);
    CHECK(runWith(Link, {Command, "--output", "xml"}).Status == BadUsage);
    CHECK(Link.Requests.empty());
  }
  PreparedConnection Link;
  CHECK(runWith(Link, {}).Status == BadUsage);
  CHECK(runWith(Link, {"--help"}).Status == 0);
  CHECK(runWith(Link, {"no-such"}).Status == BadUsage);
  CHECK(runWith(Link, {"status", "--daemon", "nowhere"}).Status == BadUsage);
  CHECK(runWith(Link, {"status", "--base", "1"}).Status == BadUsage);
}

TEST_CASE("no command succeeds, shows the token or dies on a bad answer") {
  std::string File = documentFile(Good);
  const std::vector<Answer> Bad = {
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
        Ended Result = runWith(Bad[I], Call);
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

TEST_CASE("a write whose answer was lost is said to be unknown") {
  std::string File = documentFile(Good);
  Answer Lost = HttpClientError{HttpClientErrorCode::ConnectionLost, true};
  Ended Result = runWith(Lost, {"accept", File.c_str(), "--operation", "op-9"});
  CHECK(Result.Status == OutcomeUnknown);
  CHECK(Result.Errors.find("--operation op-9") != std::string::npos);
  CHECK(runWith(Lost, {"drain"}).Status == OutcomeUnknown);
  CHECK(runWith(Lost, {"status"}).Status == Failed);
  Answer Refused = HttpClientError{HttpClientErrorCode::ConnectFailed, false};
  CHECK(runWith(Refused, {"accept", File.c_str()}).Status == Failed);
  CHECK(runWith(response(503, R"({"error": "unknown", "operation": "a"})"),
                {"accept", File.c_str()})
            .Status == OutcomeUnknown);
  CHECK(runWith(response(503, R"({"error": "not_written"})"),
                {"accept", File.c_str()})
            .Status == Failed);
  std::remove(File.c_str());
}

TEST_CASE("accept sends document, author and token, and tells the version") {
  std::string File = documentFile(Good);
  PreparedConnection Link;
  Link.Answers = {response(200, R"({"version": 7})")};
  Ended Result = runWith(
      Link, {"accept", File.c_str(), "--base", "6", "--author", "Anna & Ben"});
  CHECK(Result.Status == 0);
  CHECK(Result.Out == "accepted as version 7\n");
  const HttpRequest &Sent = Link.Requests.at(0);
  CHECK(Sent.queryValue("author") == "Anna & Ben");
  CHECK(Sent.queryValue("base") == "6");
  CHECK(Sent.Body == Good);
  CHECK(*findHeader(Sent.Headers, "Authorization") == "Bearer hidden-token");
  std::remove(File.c_str());
}

TEST_CASE("a lost race tells who won, what differs and what to do") {
  std::string File = documentFile(Good);
  const char Body[] = R"({"error": "conflict",
    "present": {"version": 8, "author": "ben", "written": "2026-08-01"},
    "differences": [{"change": "changed", "resource": "route",
                     "name": "submit",
                     "fields": [{"field": "/deadline_ms", "from": "500",
                                 "to": "600"}]}]})";
  Ended Text = runWith(response(409, Body), {"accept", File.c_str()});
  CHECK(Text.Status == LostRace);
  for (const char *Part : {"version 8", "accepted by ben", "route submit",
                           "/deadline_ms: 500 -> 600", "--base 8"})
    CHECK(Text.Errors.find(Part) != std::string::npos);
  Ended Json = runWith(response(409, Body),
                       {"accept", File.c_str(), "--output", "json"});
  CHECK(Json.data().at("status") == "lost_race");
  CHECK(Json.data().at("present").at("author") == "ben");
  CHECK(runWith(response(409, R"({"error": "conflict"})"),
                {"accept", File.c_str()})
            .Status == LostRace);
  std::remove(File.c_str());
}

TEST_CASE("validate needs no daemon and lists errors by path") {
  std::string File = documentFile(R"({"services": [{"name": "a b"}]})");
  PreparedConnection Link;
  Ended Result = runWith(Link, {"validate", File.c_str(), "--output=json"});
  CHECK(Result.Status == Failed);
  CHECK(Result.data().at("errors").at(0).at("path") == "/services/0/name");
  CHECK(runWith(Link, {"validate", "/no/such/file"}).Status == Failed);
  CHECK(Link.Requests.empty());
  std::remove(File.c_str());
}

TEST_CASE("wait counts members in force, from records and from sums") {
  PreparedConnection Link;
  Link.Answers = {
      response(200, R"({"members": [
        {"id": "a", "state": "alive", "config_version": 2},
        {"id": "b", "state": "alive", "config_version": 1},
        {"id": "c", "state": "dead", "config_version": 1}]})"),
      response(200, R"({"standing": [
        {"counts": {"1": 1, "2": 3}, "unknown": 1}]})"),
      response(200, R"({"standing": [{"counts": {"2": 4, "3": 1}}]})")};
  Ended Result = runWith(Link, {"wait", "--version", "2", "--members", "5"});
  CHECK(Result.Status == 0);
  CHECK(Result.Out.find("in force on 5 of 5, version 2") == 0);
  CHECK(Result.Errors.find("in force on 1 of 2") != std::string::npos);
  CHECK(Result.Errors.find("in force on 3 of 5") != std::string::npos);
  Ended Late = runWith(response(200, R"({"standing": [{"counts": {"1": 1},
        "laggards": [{"member": "slow-one"}]}]})"),
                       {"wait", "--version", "2", "--timeout-ms", "200"});
  CHECK(Late.Status == TimedOut);
  CHECK(Late.Errors.find("slow-one") != std::string::npos);
}

TEST_CASE("history, audit and moves list what the daemon tells") {
  const char Trail[] = R"({"complete": true, "entries": [
    {"time": "T", "actor": "anna", "action": "document_accepted",
     "subject": "document", "to": "3", "from": "2", "outcome": "done",
     "detail": "digest=1", "pending": true}],
    "days": [{"day": "2026-08-01", "lines": [{"actor": "ben",
      "action": "document_accepted", "outcome": "done", "count": 9,
      "last_to": "2"}]}]})";
  PreparedConnection Link;
  Link.Answers = {response(200, Trail)};
  Ended History = runWith(Link, {"history", "--hours", "3"});
  CHECK(History.Status == 0);
  CHECK(Link.Requests.at(0).queryValue("action") == "document_accepted");
  CHECK(Link.Requests.at(0).queryValue("hours") == "3");
  CHECK(History.Out.find("T anna document_accepted document 2 -> 3 done "
                         "(digest=1) [not on the platform yet]") == 0);
  CHECK(runWith(Link, {"audit"}).Out.find("ben document_accepted done: 9") !=
        std::string::npos);
  Ended Partial = runWith(
      response(200, R"({"complete": false, "entries": []})"), {"audit"});
  CHECK(Partial.Status == Incomplete);
  CHECK(Partial.Out.find("no entries") == 0);
  Ended Rollouts = runWith(
      response(200, R"([{"name": "m", "state": "running", "share": 5}])"),
      {"moves"});
  CHECK(Rollouts.Out == "m\n  share: 5\n  state: running\n");
  CHECK(runWith(response(200, "[]"), {"moves"}).Out == "no version moves\n");
  CHECK(
      runWith(response(404, R"({"error": "no such move"})"), {"take-back", "m"})
          .Errors.find("cyclamenctl moves") != std::string::npos);
}
