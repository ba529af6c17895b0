#include "cyclamenwind/traffic/ejection.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr int MaxConsecutiveFailures = 5;
// Calls that a server must have had before it is compared with others.
constexpr int MinSamples = 20;
constexpr double Smoothing = 0.1;
constexpr double MaxFailureShare = 0.3;
// A server is slow if its latency exceeds LatencyFactor times the median of the
// others by more than LatencyMarginUs.
constexpr double LatencyFactor = 3;
constexpr double LatencyMarginUs = 10e3;
constexpr size_t MinServersToCompare = 2;
constexpr Duration EjectionTime = 5s;
constexpr int MaxEjectionDoublings = 4;
// An ejection later than this after the previous one lasts EjectionTime again.
constexpr Duration ResetTime = 120s;

// Whether the outcome is a failure of the server; a refusal for lack of
// capacity is none.
bool isServerFailure(CallOutcome Outcome, CallReason Reason, int Status) {
  if (Outcome == CallOutcome::Answered)
    return Status >= 500;
  if (Outcome == CallOutcome::Unknown)
    return Reason != CallReason::Cancelled;
  return Reason == CallReason::ServerDown || Reason == CallReason::DaemonDown;
}

double median(std::vector<double> Values) {
  auto Middle = Values.begin() + static_cast<long>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

void OutlierEjector::recordOutcome(const std::string &Group,
                                   const std::string &ServerKey,
                                   CallOutcome Outcome, CallReason Reason,
                                   int Status, Duration Latency,
                                   TimePoint Now) {
  ServerStats &Stats = Servers[ServerKey];
  Stats.Group = Group;
  bool Failed = isServerFailure(Outcome, Reason, Status);
  if (!Failed && Outcome != CallOutcome::Answered)
    return;
  double LatencyUs = static_cast<double>(Latency.count());
  // A failure faster than the average says nothing about the speed of the
  // server.
  if (!Failed || LatencyUs > Stats.Latency)
    Stats.Latency =
        Stats.Samples == 0
            ? LatencyUs
            : Stats.Latency + Smoothing * (LatencyUs - Stats.Latency);
  Stats.FailureShare += Smoothing * ((Failed ? 1 : 0) - Stats.FailureShare);
  Stats.ConsecutiveFailures = Failed ? Stats.ConsecutiveFailures + 1 : 0;
  ++Stats.Samples;
  if (Now < Stats.EjectedUntil)
    return;
  bool Deviates = Stats.Samples >= MinSamples && isOutlier(Stats);
  if (Stats.ConsecutiveFailures >= MaxConsecutiveFailures || Deviates)
    eject(Stats, Now);
}

bool OutlierEjector::isEjected(const std::string &ServerKey,
                               TimePoint Now) const {
  auto Found = Servers.find(ServerKey);
  return Found != Servers.end() && Now < Found->second.EjectedUntil;
}

TimePoint OutlierEjector::ejectedUntil(const std::string &ServerKey) const {
  auto Found = Servers.find(ServerKey);
  return Found == Servers.end() ? TimePoint() : Found->second.EjectedUntil;
}

void OutlierEjector::eject(ServerStats &Server, TimePoint Now) {
  if (Now - Server.LastEjected > ResetTime)
    Server.Ejections = 0;
  int Doublings = std::min(Server.Ejections, MaxEjectionDoublings);
  Server.EjectedUntil = Now + EjectionTime * (1 << Doublings);
  Server.LastEjected = Now;
  ++Server.Ejections;
  // Resets the statistics, so that after the ejection two consecutive failures
  // eject the server again.
  Server.Samples = 0;
  Server.FailureShare = 0;
  Server.ConsecutiveFailures = MaxConsecutiveFailures - 2;
  Server.Latency = 0;
}

// Compares with the median, so that a group whose servers all fail or are all
// slow has no outlier.
bool OutlierEjector::isOutlier(const ServerStats &Candidate) const {
  std::vector<double> Latencies;
  std::vector<double> FailureShares;
  for (const auto &[Id, Other] : Servers) {
    if (&Other == &Candidate || Other.Group != Candidate.Group ||
        Other.Samples < MinSamples)
      continue;
    Latencies.push_back(Other.Latency);
    FailureShares.push_back(Other.FailureShare);
  }
  if (Latencies.size() < MinServersToCompare)
    return false;
  double MedianLatency = median(std::move(Latencies));
  double MedianShare = median(std::move(FailureShares));
  bool Slow =
      Candidate.Latency > LatencyFactor * MedianLatency + LatencyMarginUs;
  return Slow || Candidate.FailureShare > MedianShare + MaxFailureShare;
}

} // namespace cyclamenwind
