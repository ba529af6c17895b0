#include "cyclamenwind/traffic/admission.h"

namespace cyclamenwind {
namespace {

// One start in this many takes the call that has been queued longest.
constexpr int StartsPerOldest = 8;
// A queued call expires when at most this share of the typical latency is left
// before its deadline.
constexpr double MinLatencyShare = 0.5;

} // namespace

AdmissionDecision Admission::tryAdmit(AdmissionId Id, Priority CallPriority,
                                      TimePoint Deadline, TimePoint Now,
                                      AdmissionActions &Actions) {
  QueueKey Key{-static_cast<int>(CallPriority), Deadline, Id};
  if (Deadline <= Now)
    return AdmissionDecision::Refused;
  if (running() < limit()) {
    Running[Id] = Now;
    return AdmissionDecision::Run;
  }
  if (wouldMissDeadline(Key, Now))
    return AdmissionDecision::Refused;
  if (queued() >= QueueLimit) {
    if (Queue.empty())
      return AdmissionDecision::Refused;
    QueueKey Last = *Queue.rbegin();
    if (std::get<0>(Key) >= std::get<0>(Last))
      return AdmissionDecision::Refused;
    removeQueued(std::get<AdmissionId>(Last));
    Actions.Displaced.push_back(std::get<AdmissionId>(Last));
  }
  Queue.insert(Key);
  QueuedById[Id] = Key;
  return AdmissionDecision::Queued;
}

AdmissionActions Admission::callFinished(AdmissionId Id, TimePoint Now) {
  auto Found = Running.find(Id);
  if (Found != Running.end()) {
    Concurrency.callFinished(
        std::chrono::duration_cast<Duration>(Now - Found->second), running(),
        Now);
    Running.erase(Found);
  }
  AdmissionActions Actions = expire(Now);
  runQueued(Now, Actions);
  return Actions;
}

AdmissionActions Admission::expire(TimePoint Now) {
  AdmissionActions Actions;
  for (const auto &[Id, Key] : QueuedById) {
    Duration MinRemaining(static_cast<int64_t>(
        MinLatencyShare *
        static_cast<double>(Concurrency.typicalLatency().count())));
    if (std::get<TimePoint>(Key) <= Now + MinRemaining)
      Actions.Expired.push_back(Id);
  }
  for (AdmissionId Id : Actions.Expired)
    removeQueued(Id);
  return Actions;
}

bool Admission::removeQueued(AdmissionId Id) {
  auto Found = QueuedById.find(Id);
  if (Found == QueuedById.end())
    return false;
  Queue.erase(Found->second);
  QueuedById.erase(Found);
  return true;
}

void Admission::resize(int NewSlots, int NewQueueLimit) {
  Concurrency.resize(NewSlots);
  QueueLimit = NewQueueLimit;
}

// Whether a new call is expected to miss its deadline, if the calls ahead and
// the new call itself take the typical latency each, on limit() slots.
bool Admission::wouldMissDeadline(const QueueKey &Key, TimePoint Now) const {
  int Ahead = 1;
  for (auto Queued = Queue.begin(); Queued != Queue.end() && *Queued < Key;
       ++Queued)
    ++Ahead;
  Duration Wait = Concurrency.typicalLatency() * Ahead / std::max(1, limit());
  return Now + Wait > std::get<TimePoint>(Key);
}

AdmissionId Admission::nextToRun() {
  if (++StartsSinceOldest >= StartsPerOldest) {
    StartsSinceOldest = 0;
    return QueuedById.begin()->first;
  }
  return std::get<AdmissionId>(*Queue.begin());
}

void Admission::runQueued(TimePoint Now, AdmissionActions &Actions) {
  while (running() < limit() && !Queue.empty()) {
    AdmissionId Next = nextToRun();
    removeQueued(Next);
    Running[Next] = Now;
    Actions.Run.push_back(Next);
  }
}

} // namespace cyclamenwind
