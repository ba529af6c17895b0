#include "testing/load.h"

#include "cyclamenwind/traffic/call_outcome.h"
#include "testing/backend_standin.h"

#include <algorithm>

namespace cyclamenwind::testing {
namespace {

constexpr Duration PacePeriod = 1ms;

} // namespace

Duration LoadResult::quantile(double Share) const {
  if (Latencies.empty())
    return {};
  std::vector<Duration> Sorted = Latencies;
  auto Rank = static_cast<size_t>(Share * static_cast<double>(Sorted.size()));
  Rank = std::min(Rank, Sorted.size() - 1);
  std::nth_element(Sorted.begin(), Sorted.begin() + static_cast<long>(Rank),
                   Sorted.end());
  return Sorted[Rank];
}

Load::Load(Loop &TheLoop, const LoadOptions &Options,
           std::function<void(const LoadResult &)> OnDone)
    : TheLoop(TheLoop), Options(Options), OnDone(std::move(OnDone)),
      Client(TheLoop, {}), Begun(TheLoop.now()) {
  if (!Options.Trace.empty())
    Trace.open(Options.Trace);
  Pace = TheLoop.every(PacePeriod, [this] { sendDue(); });
}

void Load::sendDue() {
  Duration Elapsed = std::min(TheLoop.now() - Begun, Options.Length);
  auto Due = static_cast<uint64_t>(Options.PerSecond *
                                   static_cast<double>(Elapsed.count()) / 1e6);
  while (Total.Sent < Due)
    sendOne();
  if (Finished || Elapsed < Options.Length || !Calls.empty())
    return;
  Finished = true;
  TimerHandle Ended = std::move(Pace);
  OnDone(Total);
}

void Load::sendOne() {
  uint64_t Number = Total.Sent++;
  const LoadTarget &What = Options.Targets[Number % Options.Targets.size()];
  const Address &To =
      Options.Daemons[Number / Options.Targets.size() % Options.Daemons.size()];
  Call &Added = Calls[Number];
  Added.Id = Options.Name + "-" + std::to_string(Number);
  Added.Method = What.Method;
  Added.Begun = TheLoop.now();
  HttpRequest Request = {What.Method,
                         What.Target,
                         {{RequestIdHeader, Added.Id}},
                         std::string(Options.BodyBytes, 'x')};
  Added.Http =
      Client.send(To, Request, Options.Timeout,
                  [this, Number](Result<HttpResponse, HttpClientError> Ended) {
                    ended(Number, std::move(Ended));
                  });
}

void Load::ended(uint64_t Number,
                 Result<HttpResponse, HttpClientError> Outcome) {
  Call Ended = std::move(Calls[Number]);
  Calls.erase(Number);
  std::string End =
      Outcome ? endOf(Ended, Outcome.value()) : endOf(Outcome.error());
  if (Trace.is_open())
    Trace << Ended.Id + " " + Ended.Method + " " + End + "\n";
}

std::string Load::endOf(const HttpClientError &Error) {
  ++Total.Reasons[std::string(nameOf(Error.Code))];
  ++(Error.Sent ? Total.Unknown : Total.Refused);
  return std::string(
      nameOf(Error.Sent ? CallOutcome::Unknown : CallOutcome::Refused));
}

std::string Load::endOf(const Call &Ended, const HttpResponse &Response) {
  const std::string *End = findHeader(Response.Headers, EndHeader);
  const std::string *Reason = findHeader(Response.Headers, ReasonHeader);
  if (End != nullptr && *End != nameOf(CallOutcome::Answered)) {
    ++(*End == nameOf(CallOutcome::Refused) ? Total.Refused : Total.Unknown);
    ++Total.Reasons[Reason == nullptr ? "" : *Reason];
    return *End;
  }
  ++Total.Answered;
  if (Response.Status >= 500)
    ++Total.Failed;
  Total.Latencies.push_back(TheLoop.now() - Ended.Begun);
  const std::string *Id = findHeader(Response.Headers, RequestIdHeader);
  bool Shed = Id == nullptr && Response.Status == 503;
  bool Whole = Response.Body.starts_with("id=" + Ended.Id + " ") &&
               Response.Body.ends_with('\n');
  if (!Shed && (Id == nullptr || *Id != Ended.Id || !Whole))
    ++Total.Mismatched;
  return Shed ? "shed" : std::string(nameOf(CallOutcome::Answered));
}

} // namespace cyclamenwind::testing
