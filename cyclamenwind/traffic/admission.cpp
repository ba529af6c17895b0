#include "cyclamenwind/traffic/admission.h"

namespace cyclamenwind {
namespace {

// One turn in this many goes to the call that has waited longest.
constexpr int TurnsPerOldest = 8;
// A call is hopeless with less left than this share of the usual latency.
constexpr double LeastShareOfLatency = 0.5;

} // namespace

AdmissionVerdict Admission::offer(AdmissionId Id, Priority Urgency,
                                  TimePoint Deadline, TimePoint Now,
                                  AdmissionActions &Actions) {
  QueueKey Key{-static_cast<int>(Urgency), Deadline, Id};
  if (Deadline <= Now)
    return AdmissionVerdict::Refused;
  if (running() < limit()) {
    Running[Id] = Now;
    return AdmissionVerdict::Run;
  }
  if (hopeless(Key, Now))
    return AdmissionVerdict::Refused;
  if (queued() >= QueueLimit) {
    if (Queue.empty())
      return AdmissionVerdict::Refused;
    QueueKey Last = *Queue.rbegin();
    if (std::get<0>(Key) >= std::get<0>(Last))
      return AdmissionVerdict::Refused;
    withdraw(std::get<AdmissionId>(Last));
    Actions.Displaced.push_back(std::get<AdmissionId>(Last));
  }
  Queue.insert(Key);
  Waiting[Id] = Key;
  return AdmissionVerdict::Queued;
}

AdmissionActions Admission::finished(AdmissionId Id, TimePoint Now) {
  auto Found = Running.find(Id);
  if (Found != Running.end()) {
    Concurrency.finished(
        std::chrono::duration_cast<Duration>(Now - Found->second), running(),
        Now);
    Running.erase(Found);
  }
  AdmissionActions Actions = expire(Now);
  runWaiting(Now, Actions);
  return Actions;
}

AdmissionActions Admission::expire(TimePoint Now) {
  AdmissionActions Actions;
  for (const auto &[Id, Key] : Waiting) {
    Duration Least(static_cast<int64_t>(
        LeastShareOfLatency *
        static_cast<double>(Concurrency.usualLatency().count())));
    if (std::get<TimePoint>(Key) <= Now + Least)
      Actions.Expired.push_back(Id);
  }
  for (AdmissionId Id : Actions.Expired)
    withdraw(Id);
  return Actions;
}

bool Admission::withdraw(AdmissionId Id) {
  auto Found = Waiting.find(Id);
  if (Found == Waiting.end())
    return false;
  Queue.erase(Found->second);
  Waiting.erase(Found);
  return true;
}

void Admission::resize(int NewSlots, int NewQueueLimit) {
  Concurrency.resize(NewSlots);
  QueueLimit = NewQueueLimit;
}

// Whether a newcomer would wait past its deadline: the calls ahead of it take
// turns of the usual latency on the limit's slots.
bool Admission::hopeless(const QueueKey &Key, TimePoint Now) const {
  int Ahead = 1;
  for (auto Each = Queue.begin(); Each != Queue.end() && *Each < Key; ++Each)
    ++Ahead;
  Duration Wait = Concurrency.usualLatency() * Ahead / std::max(1, limit());
  return Now + Wait > std::get<TimePoint>(Key);
}

AdmissionId Admission::nextToRun() {
  if (++TurnsSinceOldest >= TurnsPerOldest) {
    TurnsSinceOldest = 0;
    return Waiting.begin()->first;
  }
  return std::get<AdmissionId>(*Queue.begin());
}

void Admission::runWaiting(TimePoint Now, AdmissionActions &Actions) {
  while (running() < limit() && !Queue.empty()) {
    AdmissionId Next = nextToRun();
    withdraw(Next);
    Running[Next] = Now;
    Actions.Run.push_back(Next);
  }
}

} // namespace cyclamenwind
