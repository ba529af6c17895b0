#include "cyclamenwind/ctl/commands.h"

#include "cyclamenwind/document/document.h"
#include "cyclamenwind/http/client.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

namespace cyclamenwind::ctl {
namespace {

namespace options = boost::program_options;
using nlohmann::json;

constexpr Duration RequestTimeout = 20s;
constexpr Duration PollPeriod = 20ms;

struct CommandLine {
  std::string Command;
  std::string File;
  std::string Daemon;
  std::string Author;
  std::string Token;
  std::optional<uint64_t> Base;
  size_t Members = 0;
  uint64_t Version = 0;
  Duration Timeout{};
};

// Sends one request and waits for its response.
Result<HttpResponse, HttpClientError> request(const Address &Daemon,
                                              const HttpRequest &Request) {
  Loop TheLoop;
  HttpClient Client(TheLoop, {});
  Result<HttpResponse, HttpClientError> Outcome =
      HttpClientError{HttpClientErrorCode::ConnectFailed};
  std::unique_ptr<HttpCall> Call =
      Client.send(Daemon, Request, RequestTimeout,
                  [&](Result<HttpResponse, HttpClientError> Ended) {
                    Outcome = std::move(Ended);
                    TheLoop.stop();
                  });
  TheLoop.run();
  return Outcome;
}

std::optional<std::string> readFile(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    return std::nullopt;
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

void printErrors(const std::string &File, const DocumentErrors &Errors) {
  for (const DocumentError &Each : Errors)
    std::cerr << File << ": " << (Each.Path.empty() ? "/" : Each.Path) << ": "
              << Each.Message << "\n";
}

// Reads and checks the document of the command line; prints what is wrong.
std::optional<std::string> checkedDocument(const CommandLine &Line) {
  std::optional<std::string> Text = readFile(Line.File);
  if (!Text) {
    std::cerr << "cyclamenctl: " << Line.File << " cannot be read\n";
    return std::nullopt;
  }
  Result<Document, DocumentErrors> Parsed = parseDocument(*Text);
  if (!Parsed) {
    printErrors(Line.File, Parsed.error());
    return std::nullopt;
  }
  return Text;
}

int validate(const CommandLine &Line) {
  if (!checkedDocument(Line))
    return Failed;
  std::cout << "document: ok\n";
  return Done;
}

std::string freshOperationId() {
  std::random_device Source;
  uint64_t Number = (uint64_t(Source()) << 32) | Source();
  return "op-" + std::to_string(Number);
}

int reportAcceptance(const HttpResponse &Response) {
  json Body = json::parse(Response.Body, nullptr, false);
  if (Response.Status == 200 && Body.is_object()) {
    std::cout << "accepted as version " << Body.value("version", 0) << "\n";
    return Done;
  }
  std::cerr << "cyclamenctl: not accepted: " << Response.Body;
  if (Response.Status == 409)
    return LostRace;
  bool Unknown = Body.is_object() && Body.value("error", "") == "unknown";
  return Unknown ? OutcomeUnknown : Failed;
}

int accept(const CommandLine &Line, const Address &Daemon) {
  std::optional<std::string> Text = checkedDocument(Line);
  if (!Text)
    return Failed;
  std::string Target = "/api/document?author=" + Line.Author +
                       "&operation=" + freshOperationId();
  if (Line.Base)
    Target += "&base=" + std::to_string(*Line.Base);
  Result<HttpResponse, HttpClientError> Outcome = request(
      Daemon,
      {"POST", Target, {{"Authorization", "Bearer " + Line.Token}}, *Text});
  if (Outcome)
    return reportAcceptance(Outcome.value());
  std::cerr << "cyclamenctl: " << Daemon.text() << ": "
            << nameOf(Outcome.error().Code) << "\n";
  return Outcome.error().Sent ? OutcomeUnknown : Failed;
}

std::optional<json> fetchStatus(const Address &Daemon) {
  Result<HttpResponse, HttpClientError> Outcome =
      request(Daemon, {"GET", "/status", {}, ""});
  if (!Outcome || Outcome.value().Status != 200)
    return std::nullopt;
  json Body = json::parse(Outcome.value().Body, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  return Body;
}

int status(const Address &Daemon) {
  std::optional<json> Body = fetchStatus(Daemon);
  if (!Body) {
    std::cerr << "cyclamenctl: no status from " << Daemon.text() << "\n";
    return Failed;
  }
  std::cout << Body->dump(2) << "\n";
  return Done;
}

struct Progress {
  size_t Members = 0;
  size_t InForce = 0;
};

Progress progressOf(const json &Status, uint64_t Version) {
  Progress Seen;
  for (const json &Each : Status.value("members", json::array())) {
    if (Each.value("state", "") != "alive")
      continue;
    ++Seen.Members;
    if (Each.value("config_version", uint64_t(0)) >= Version)
      ++Seen.InForce;
  }
  return Seen;
}

void sleepFor(Duration Span) {
  Loop TheLoop;
  TimerHandle Timer = TheLoop.after(Span, [&] { TheLoop.stop(); });
  TheLoop.run();
}

int waitInForce(const CommandLine &Line, const Address &Daemon) {
  Loop Time;
  TimePoint Begun = Time.now();
  Progress Seen;
  while (Time.now() - Begun < Line.Timeout) {
    if (std::optional<json> Body = fetchStatus(Daemon))
      Seen = progressOf(*Body, Line.Version);
    bool All = Seen.Members > 0 && Seen.InForce == Seen.Members;
    if (All && Seen.Members >= Line.Members) {
      std::cout << "in force on " << Seen.InForce << " of " << Seen.Members
                << ", version " << Line.Version << ", after "
                << milliseconds(Time.now() - Begun) << " ms\n";
      return Done;
    }
    sleepFor(PollPeriod);
  }
  std::cerr << "cyclamenctl: version " << Line.Version << " is in force on "
            << Seen.InForce << " of " << Seen.Members << " after "
            << milliseconds(Line.Timeout) << " ms\n";
  return TimedOut;
}

std::string defaultToken() {
  const char *Token = std::getenv("CYCLAMENWIND_TOKEN");
  return Token == nullptr ? "" : Token;
}

std::string defaultAuthor() {
  const char *User = std::getenv("USER");
  return User == nullptr ? "operator" : User;
}

const char Usage[] =
    "usage: cyclamenctl COMMAND [options] [FILE]\n"
    "\n"
    "  validate FILE   check a document\n"
    "  accept FILE     accept a document as the next version\n"
    "  status          show what a daemon knows of the fleet\n"
    "  wait            wait until a version is in force everywhere\n"
    "\n"
    "The token is read from the environment variable CYCLAMENWIND_TOKEN.\n"
    "Exit status: 0 done; 1 failed, nothing changed; 2 bad usage; 3 lost a\n"
    "race; 4 outcome unknown; 5 time ran out.\n";

int dispatch(const CommandLine &Line) {
  if (Line.Command == "validate")
    return validate(Line);
  std::optional<Address> Daemon = parseAddress(Line.Daemon);
  if (!Daemon) {
    std::cerr << "cyclamenctl: --daemon needs the operators' address of a "
                 "daemon, such as 127.0.0.1:7200\n";
    return BadUsage;
  }
  if (Line.Command == "accept")
    return accept(Line, *Daemon);
  if (Line.Command == "status")
    return status(*Daemon);
  if (Line.Command == "wait")
    return waitInForce(Line, *Daemon);
  std::cerr << "cyclamenctl: no command '" << Line.Command << "'\n" << Usage;
  return BadUsage;
}

} // namespace

int run(int Count, const char *const *Arguments) {
  CommandLine Line;
  int64_t TimeoutMs = 0;
  options::options_description Known("options");
  Known.add_options()("help,h",
                      "show this text")("daemon", options::value(&Line.Daemon),
                                        "operators' address of any daemon")(
      "author", options::value(&Line.Author)->default_value(defaultAuthor()),
      "who accepts the document")(
      "base", options::value<uint64_t>(),
      "version that the document replaces; another one there is a lost race")(
      "version", options::value(&Line.Version)->default_value(1),
      "version to wait for")("members",
                             options::value(&Line.Members)->default_value(1),
                             "least number of members to wait for")(
      "timeout-ms", options::value(&TimeoutMs)->default_value(10000),
      "how long to wait")("command", options::value(&Line.Command))(
      "file", options::value(&Line.File));
  options::positional_options_description Positional;
  Positional.add("command", 1).add("file", 1);
  options::variables_map Given;
  try {
    options::store(options::command_line_parser(Count, Arguments)
                       .options(Known)
                       .positional(Positional)
                       .run(),
                   Given);
    options::notify(Given);
  } catch (const options::error &Error) {
    std::cerr << "cyclamenctl: " << Error.what() << "\n" << Usage;
    return BadUsage;
  }
  if (Given.count("help") != 0 || Line.Command.empty()) {
    std::cout << Usage << "\n" << Known;
    return Given.count("help") != 0 ? Done : BadUsage;
  }
  if (Given.count("base") != 0)
    Line.Base = Given["base"].as<uint64_t>();
  Line.Timeout = std::chrono::milliseconds(TimeoutMs);
  Line.Token = defaultToken();
  return dispatch(Line);
}

} // namespace cyclamenwind::ctl
