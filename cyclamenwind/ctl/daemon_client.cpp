#include "cyclamenwind/ctl/daemon_client.h"

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

CommandResult requestFailed(const Address &Daemon, const HttpRequest &Request,
                            const HttpClientError &Error) {
  bool Write = Request.Method != "GET";
  CommandResult Failure;
  Failure.Status = Write && Error.Sent ? OutcomeUnknown : Failed;
  Failure.Text = "no answer from the daemon at " + Daemon.text() + ": " +
                 std::string(nameOf(Error.Code));
  Failure.Advice = Failure.Status == OutcomeUnknown
                       ? "it may have taken effect; look with 'cyclamenctl "
                         "audit' before trying again"
                       : "check that the daemon runs, or name another with "
                         "--daemon";
  Failure.Data = {{"error", nameOf(Error.Code)}, {"daemon", Daemon.text()}};
  return Failure;
}

} // namespace

std::string_view nameOf(ExitStatus Status) {
  return nameIn(StatusNames, Status);
}

Result<HttpResponse, HttpClientError>
HttpDaemonClient::send(const Address &Daemon, const HttpRequest &Request) {
  HttpClient Client(TheLoop, {});
  Result<HttpResponse, HttpClientError> Outcome =
      HttpClientError{HttpClientErrorCode::ConnectFailed};
  std::unique_ptr<HttpCall> Call =
      Client.send(Daemon, Request, RequestTimeout,
                  [&](Result<HttpResponse, HttpClientError> CallResult) {
                    Outcome = std::move(CallResult);
                    TheLoop.stop();
                  });
  TheLoop.run();
  return Outcome;
}

void HttpDaemonClient::sleepFor(Duration Span) {
  TimerHandle Timer = TheLoop.after(Span, [this] { TheLoop.stop(); });
  TheLoop.run();
}

DaemonResponse sendRequest(DaemonClient &Client, const Address &Daemon,
                           const HttpRequest &Request) {
  DaemonResponse Response;
  Result<HttpResponse, HttpClientError> Outcome = Client.send(Daemon, Request);
  if (!Outcome) {
    Response.Failure = requestFailed(Daemon, Request, Outcome.error());
    return Response;
  }
  Response.Body = json::parse(Outcome.value().Body, nullptr, false);
  Response.Status = Outcome.value().Status;
  bool Structured = Response.Body.is_object() || Response.Body.is_array();
  if (Structured && Response.Status != Forbidden)
    return Response;
  Response.Failure = unexpectedResponse(Response);
  // The write may have taken effect although its response cannot be read.
  if (!Structured && Request.Method != "GET")
    Response.Failure.Status = OutcomeUnknown;
  Response.Status = 0;
  return Response;
}

CommandResult unexpectedResponse(const DaemonResponse &Response) {
  CommandResult Failure;
  Failure.Status = Failed;
  Failure.Text =
      "the daemon replied with status " + std::to_string(Response.Status);
  if (Response.Body.is_object()) {
    Failure.Data = Response.Body;
    Failure.Text += ": " + Response.Body.value("error", "no reason given");
    Failure.Advice = Response.Body.value("advice", "");
  }
  if (Response.Status == Forbidden && !Failure.Advice.empty())
    Failure.Advice = "set CYCLAMENWIND_TOKEN to the token; the daemon says: " +
                     Failure.Advice;
  if (Response.Status == NotFound && Failure.Advice.empty())
    Failure.Advice = "the daemon may be of a version without this command";
  return Failure;
}

std::string percentEncoded(const std::string &Text) {
  char *Encoded =
      evhttp_uriencode(Text.data(), static_cast<ev_ssize_t>(Text.size()), 0);
  std::string Copy = Encoded == nullptr ? "" : Encoded;
  std::free(Encoded);
  return Copy;
}

} // namespace cyclamenwind::ctl
