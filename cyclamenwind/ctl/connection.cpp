#include "cyclamenwind/ctl/connection.h"

#include "cyclamenwind/base/names.h"

#include <event2/http.h>

namespace cyclamenwind::ctl {
namespace {

using nlohmann::json;

constexpr Duration RequestTimeout = 20s;
constexpr int Forbidden = 403;
constexpr int NotFound = 404;

constexpr std::array<EnumName<ExitStatus>, 7> StatusNames = {{
    {Done, "done"},
    {Failed, "failed"},
    {BadUsage, "bad_usage"},
    {LostRace, "lost_race"},
    {OutcomeUnknown, "outcome_unknown"},
    {TimedOut, "timed_out"},
    {Incomplete, "incomplete"},
}};

CommandResult notAnswered(const Address &Daemon, const HttpRequest &Request,
                          const HttpClientError &Error) {
  bool Write = Request.Method != "GET";
  CommandResult Problem;
  Problem.Status = Write && Error.Sent ? OutcomeUnknown : Failed;
  Problem.Text = "no answer from the daemon at " + Daemon.text() + ": " +
                 std::string(nameOf(Error.Code));
  Problem.Next = Problem.Status == OutcomeUnknown
                     ? "it may have taken effect; look with 'cyclamenctl "
                       "audit' before trying again"
                     : "check that the daemon runs, or name another with "
                       "--daemon";
  Problem.Data = {{"error", nameOf(Error.Code)}, {"daemon", Daemon.text()}};
  return Problem;
}

} // namespace

std::string_view nameOf(ExitStatus Status) {
  return nameIn(StatusNames, Status);
}

Result<HttpResponse, HttpClientError>
HttpConnection::send(const Address &Daemon, const HttpRequest &Request) {
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

void HttpConnection::sleepFor(Duration Span) {
  TimerHandle Timer = TheLoop.after(Span, [this] { TheLoop.stop(); });
  TheLoop.run();
}

Reply ask(Connection &Link, const Address &Daemon, const HttpRequest &Request) {
  Reply Received;
  Result<HttpResponse, HttpClientError> Outcome = Link.send(Daemon, Request);
  if (!Outcome) {
    Received.Problem = notAnswered(Daemon, Request, Outcome.error());
    return Received;
  }
  Received.Body = json::parse(Outcome.value().Body, nullptr, false);
  Received.Status = Outcome.value().Status;
  bool Structured = Received.Body.is_object() || Received.Body.is_array();
  if (Structured && Received.Status != Forbidden)
    return Received;
  Received.Problem = unexpected(Received);
  // A response to a write that cannot be read may follow its taking effect.
  if (!Structured && Request.Method != "GET")
    Received.Problem.Status = OutcomeUnknown;
  Received.Status = 0;
  return Received;
}

CommandResult unexpected(const Reply &Received) {
  CommandResult Problem;
  Problem.Status = Failed;
  Problem.Text =
      "the daemon replied with status " + std::to_string(Received.Status);
  if (Received.Body.is_object()) {
    Problem.Data = Received.Body;
    Problem.Text += ": " + Received.Body.value("error", "no reason given");
    Problem.Next = Received.Body.value("advice", "");
  }
  if (Received.Status == Forbidden && !Problem.Next.empty())
    Problem.Next =
        "set CYCLAMENWIND_TOKEN to the token; the daemon says: " + Problem.Next;
  if (Received.Status == NotFound && Problem.Next.empty())
    Problem.Next = "the daemon may be of a version without this command";
  return Problem;
}

std::string escaped(const std::string &Text) {
  char *Encoded =
      evhttp_uriencode(Text.data(), static_cast<ev_ssize_t>(Text.size()), 0);
  std::string Copy = Encoded == nullptr ? "" : Encoded;
  std::free(Encoded);
  return Copy;
}

} // namespace cyclamenwind::ctl
