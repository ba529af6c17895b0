#include "testing/load.h"

#include "cyclamenwind/traffic/call_outcome.h"
#include "testing/backend_standin.h"

#include <algorithm>

namespace cyclamenwind::testing {
namespace {

constexpr Duration PacePeriod = 1ms;

} // namespace

Duration LoadResult::quantile(double Fraction) const {
  if (Latencies.empty())
    return {};
  std::vector<Duration> Sorted = Latencies;
  auto Rank =
      static_cast<size_t>(Fraction * static_cast<double>(Sorted.size()));
  Rank = std::min(Rank, Sorted.size() - 1);
  std::nth_element(Sorted.begin(), Sorted.begin() + static_cast<long>(Rank),
                   Sorted.end());
  return Sorted[Rank];
}

Load::Load(Loop &TheLoop, const LoadOptions &Options,
           std::function<void(const LoadResult &)> OnDone)
    : TheLoop(TheLoop), Options(Options), OnDone(std::move(OnDone)),
      Client(TheLoop, {}), Started(TheLoop.now()) {
  if (!Options.Trace.empty())
    Trace.open(Options.Trace);
  PaceTimer = TheLoop.every(PacePeriod, [this] { sendDue(); });
}

void Load::sendDue() {
  Duration Elapsed = std::min(TheLoop.now() - Started, Options.RunTime);
  auto Due = static_cast<uint64_t>(Options.PerSecond *
                                   static_cast<double>(Elapsed.count()) / 1e6);
  while (Total.Sent < Due)
    sendOne();
  if (Finished || Elapsed < Options.RunTime || !Calls.empty())
    return;
  Finished = true;
  TimerHandle Expired = std::move(PaceTimer);
  OnDone(Total);
}

void Load::sendOne() {
  uint64_t Number = Total.Sent++;
  const LoadTarget &Target = Options.Targets[Number % Options.Targets.size()];
  const Address &To =
      Options.Daemons[Number / Options.Targets.size() % Options.Daemons.size()];
  Call &NewCall = Calls[Number];
  NewCall.Id = Options.Name + "-" + std::to_string(Number);
  NewCall.Method = Target.Method;
  NewCall.Started = TheLoop.now();
  HttpRequest Request = {Target.Method,
                         Target.Target,
                         {{RequestIdHeader, NewCall.Id}},
                         std::string(Options.BodyBytes, 'x')};
  NewCall.Http = Client.send(
      To, Request, Options.Timeout,
      [this, Number](Result<HttpResponse, HttpClientError> Outcome) {
        complete(Number, std::move(Outcome));
      });
}

void Load::complete(uint64_t Number,
                    Result<HttpResponse, HttpClientError> Outcome) {
  Call Completed = std::move(Calls[Number]);
  Calls.erase(Number);
  std::string OutcomeName = Outcome ? recordOutcome(Completed, Outcome.value())
                                    : recordOutcome(Outcome.error());
  if (Trace.is_open())
    Trace << Completed.Id + " " + Completed.Method + " " + OutcomeName + "\n";
}

std::string Load::recordOutcome(const HttpClientError &Error) {
  ++Total.Reasons[std::string(nameOf(Error.Code))];
  ++(Error.Sent ? Total.Unknown : Total.Refused);
  return std::string(
      nameOf(Error.Sent ? CallOutcome::Unknown : CallOutcome::Refused));
}

std::string Load::recordOutcome(const Call &Completed,
                                const HttpResponse &Response) {
  const std::string *OutcomeName = findHeader(Response.Headers, OutcomeHeader);
  const std::string *Reason = findHeader(Response.Headers, ReasonHeader);
  if (OutcomeName != nullptr && *OutcomeName != nameOf(CallOutcome::Answered)) {
    ++(*OutcomeName == nameOf(CallOutcome::Refused) ? Total.Refused
                                                    : Total.Unknown);
    ++Total.Reasons[Reason == nullptr ? "" : *Reason];
    return *OutcomeName;
  }
  ++Total.Answered;
  if (Response.Status >= 500)
    ++Total.Failed;
  Total.Latencies.push_back(TheLoop.now() - Completed.Started);
  const std::string *Id = findHeader(Response.Headers, RequestIdHeader);
  bool Shed = Id == nullptr && Response.Status == 503;
  bool BodyMatches = Response.Body.starts_with("id=" + Completed.Id + " ") &&
                     Response.Body.ends_with('\n');
  if (!Shed && (Id == nullptr || *Id != Completed.Id || !BodyMatches))
    ++Total.Mismatched;
  return Shed ? "shed" : std::string(nameOf(CallOutcome::Answered));
}

} // namespace cyclamenwind::testing
