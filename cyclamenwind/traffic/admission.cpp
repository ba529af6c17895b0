#include "cyclamenwind/traffic/admission.h"

namespace cyclamenwind {

AdmissionVerdict Admission::offer(AdmissionId Id, Priority Urgency,
                                  TimePoint Deadline, TimePoint Now,
                                  AdmissionActions &Actions) {
  if (Deadline <= Now)
    return AdmissionVerdict::Refused;
  if (running() < Slots) {
    Running.insert(Id);
    return AdmissionVerdict::Run;
  }
  QueueKey Key{-static_cast<int>(Urgency), Deadline, Id};
  if (queued() >= QueueLimit) {
    if (Queue.empty())
      return AdmissionVerdict::Refused;
    QueueKey Last = *Queue.rbegin();
    if (std::get<0>(Key) >= std::get<0>(Last))
      return AdmissionVerdict::Refused;
    Queue.erase(Last);
    Waiting.erase(std::get<AdmissionId>(Last));
    Actions.Displaced.push_back(std::get<AdmissionId>(Last));
  }
  Queue.insert(Key);
  Waiting[Id] = Key;
  return AdmissionVerdict::Queued;
}

AdmissionActions Admission::finished(AdmissionId Id, TimePoint Now) {
  Running.erase(Id);
  AdmissionActions Actions = expire(Now);
  while (running() < Slots && !Queue.empty()) {
    AdmissionId Next = std::get<AdmissionId>(*Queue.begin());
    withdraw(Next);
    Running.insert(Next);
    Actions.Run.push_back(Next);
  }
  return Actions;
}

AdmissionActions Admission::expire(TimePoint Now) {
  AdmissionActions Actions;
  for (const auto &[Id, Key] : Waiting)
    if (std::get<TimePoint>(Key) <= Now)
      Actions.Expired.push_back(Id);
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
  Slots = NewSlots;
  QueueLimit = NewQueueLimit;
}

} // namespace cyclamenwind
