#include "cyclamenwind/traffic/ejection.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

constexpr int MaxFailuresInRow = 5;
// Samples before shares and latencies are compared.
constexpr int MinSamples = 20;
constexpr double Smoothing = 0.1;
constexpr double MaxFailureShare = 0.3;
// Above the median of the others by this factor and this much.
constexpr double LatencyFactor = 3;
constexpr double LatencyMargin = 10e3; // Microseconds.
constexpr size_t MinPeersToCompare = 2;
constexpr Duration EjectionTime = 5s;
constexpr int MaxEjectionDoublings = 4;
// Without an ejection for this long the next one is a first one again.
constexpr Duration GoodConductTime = 120s;

// Whether the end speaks against the server: refusals for want of room do not.
bool failed(CallOutcome End, CallReason Reason, int Status) {
  if (End == CallOutcome::Answered)
    return Status >= 500;
  if (End == CallOutcome::Unknown)
    return Reason != CallReason::Cancelled;
  return Reason == CallReason::ServerDown || Reason == CallReason::DaemonDown;
}

double median(std::vector<double> Values) {
  auto Middle = Values.begin() + static_cast<long>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

void OutlierEjector::observed(const std::string &Service,
                              const std::string &MemberId, CallOutcome End,
                              CallReason Reason, int Status, Duration Latency,
                              TimePoint Now) {
  Record &Seen = Records[MemberId];
  Seen.Service = Service;
  bool Failed = failed(End, Reason, Status);
  if (!Failed && End != CallOutcome::Answered)
    return;
  double Micros = static_cast<double>(Latency.count());
  // An early failure says nothing on how fast the server is.
  if (!Failed || Micros > Seen.Latency)
    Seen.Latency = Seen.Samples == 0
                       ? Micros
                       : Seen.Latency + Smoothing * (Micros - Seen.Latency);
  Seen.FailureShare += Smoothing * ((Failed ? 1 : 0) - Seen.FailureShare);
  Seen.FailuresInRow = Failed ? Seen.FailuresInRow + 1 : 0;
  ++Seen.Samples;
  if (Now < Seen.EjectedUntil)
    return;
  bool Outlier = Seen.Samples >= MinSamples && standsOut(Seen);
  if (Seen.FailuresInRow >= MaxFailuresInRow || Outlier)
    eject(Seen, Now);
}

bool OutlierEjector::ejected(const std::string &MemberId, TimePoint Now) const {
  auto Found = Records.find(MemberId);
  return Found != Records.end() && Now < Found->second.EjectedUntil;
}

TimePoint OutlierEjector::ejectedUntil(const std::string &MemberId) const {
  auto Found = Records.find(MemberId);
  return Found == Records.end() ? TimePoint() : Found->second.EjectedUntil;
}

void OutlierEjector::eject(Record &Outlier, TimePoint Now) {
  if (Now - Outlier.LastEjected > GoodConductTime)
    Outlier.Ejections = 0;
  int Doublings = std::min(Outlier.Ejections, MaxEjectionDoublings);
  Outlier.EjectedUntil = Now + EjectionTime * (1 << Doublings);
  Outlier.LastEjected = Now;
  ++Outlier.Ejections;
  // The trial afterwards starts without the old evidence.
  Outlier.Samples = 0;
  Outlier.FailureShare = 0;
  Outlier.FailuresInRow = MaxFailuresInRow - 2;
  Outlier.Latency = 0;
}

// A service whose servers all fail or are all slow has no outlier.
bool OutlierEjector::standsOut(const Record &Candidate) const {
  std::vector<double> Latencies;
  std::vector<double> Shares;
  for (const auto &[Id, Each] : Records) {
    if (&Each == &Candidate || Each.Service != Candidate.Service ||
        Each.Samples < MinSamples)
      continue;
    Latencies.push_back(Each.Latency);
    Shares.push_back(Each.FailureShare);
  }
  if (Latencies.size() < MinPeersToCompare)
    return false;
  double Usual = median(std::move(Latencies));
  double UsualShare = median(std::move(Shares));
  bool Slow = Candidate.Latency > LatencyFactor * Usual + LatencyMargin;
  return Slow || Candidate.FailureShare > UsualShare + MaxFailureShare;
}

} // namespace cyclamenwind
