#include "cyclamenwind/rollouts/state_machine.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

RolloutRecord entered(const RolloutRecord &Present, RolloutPhase State,
                      WallTime Now) {
  RolloutRecord Next = Present;
  Next.State = State;
  Next.Entered = Now;
  return Next;
}

RolloutRecord takenBack(const RolloutRecord &Present, const RolloutFault &Why,
                        WallTime Now) {
  RolloutRecord Next = entered(Present, RolloutPhase::RolledBack, Now);
  Next.Reason = Why.Reason;
  Next.Detail = Why.Detail;
  return Next;
}

// The operators' reason to end the move, if the document gives one.
std::optional<RolloutFault> endedByDocument(const RolloutRecord &Present,
                                            const RolloutContext &Context) {
  if (Context.Spec == nullptr || Context.Target == nullptr)
    return RolloutFault{RolloutReason::Removed, ""};
  if (Context.Spec->To != Present.To ||
      Context.Spec->Service != Present.Service ||
      Context.Target->Version != Present.From)
    return RolloutFault{RolloutReason::DocumentChanged, ""};
  return std::nullopt;
}

RolloutRecord atSetTime(const RolloutRecord &Present, const RolloutSpec &Spec,
                        WallTime Now) {
  RolloutFault Late = {RolloutReason::DeadlinePassed,
                       std::string(nameOf(Present.State))};
  if (Spec.AtSetTime == DeadlineRule::RollBack)
    return takenBack(Present, Late, Now);
  RolloutRecord Next = entered(Present, RolloutPhase::Undecided, Now);
  Next.Reason = Late.Reason;
  Next.Detail = Late.Detail;
  // An undecided move keeps the share it had; "holding" is the whole.
  if (Present.State == RolloutPhase::Holding) {
    Next.Steps.push_back({1, 1, 0});
    Next.Step = Next.Steps.size() - 1;
  }
  if (Present.State == RolloutPhase::WaitingForServers) {
    Next.Steps.insert(Next.Steps.begin(), RolloutStep{0, 0, 0});
    Next.Step = 0;
  }
  return Next;
}

RolloutRecord nextStep(const RolloutRecord &Present, bool Short, WallTime Now) {
  bool Last = Present.Step + 1 >= Present.Steps.size();
  RolloutRecord Next = entered(
      Present, Last ? RolloutPhase::Holding : RolloutPhase::Stepping, Now);
  if (!Last)
    ++Next.Step;
  Next.InsufficientEvidence = Present.InsufficientEvidence || Short;
  return Next;
}

std::optional<RolloutRecord> advanced(const RolloutRecord &Present,
                                      const RolloutContext &Context,
                                      WallTime Now) {
  Duration Held = std::chrono::duration_cast<Duration>(Now - Present.Entered);
  const std::optional<RolloutProgress> &Standing = Context.Standing;
  bool Carried = Standing && Standing->Revision == Present.Revision &&
                 Standing->AllApplied;
  switch (Present.State) {
  case RolloutPhase::WaitingForServers:
    if (Context.ServersReady)
      return entered(Present, RolloutPhase::Stepping, Now);
    return std::nullopt;
  case RolloutPhase::Stepping: {
    Duration Planned = plannedHold(Present.Steps, Present.Step, Present.Entered,
                                   Present.Deadline);
    bool Short = !Standing || !Standing->EnoughEvidence;
    bool MayBeShort =
        Context.Spec->WhenEvidenceIsShort == InsufficientEvidenceRule::Advance;
    if (!Carried || Held < Planned || (Short && !MayBeShort))
      return std::nullopt;
    return nextStep(Present, Short, Now);
  }
  case RolloutPhase::Holding:
    if (Carried && Held >= MinStepHold)
      return entered(Present, RolloutPhase::Done, Now);
    return std::nullopt;
  default:
    return std::nullopt;
  }
}

// An undecided move goes on where it stood when its set time is put off.
RolloutRecord resumed(const RolloutRecord &Present, WallTime Now) {
  RolloutRecord Next = entered(Present, RolloutPhase::Stepping, Now);
  Next.Reason = RolloutReason::None;
  Next.Detail.clear();
  if (Next.Steps.front().Share == 0) {
    Next.State = RolloutPhase::WaitingForServers;
    Next.Steps.erase(Next.Steps.begin());
  }
  return Next;
}

std::optional<RolloutRecord> successor(const RolloutRecord &Present,
                                       const RolloutContext &Context,
                                       WallTime Now) {
  if (Context.Fault)
    return takenBack(Present, *Context.Fault, Now);
  if (Context.DocumentVersion < Present.DocumentVersion)
    return std::nullopt;
  if (std::optional<RolloutFault> Ended = endedByDocument(Present, Context))
    return takenBack(Present, *Ended, Now);
  RolloutRecord Current = Present;
  Current.Deadline = Context.Spec->Deadline;
  if (Present.State == RolloutPhase::Undecided) {
    if (Now < Current.Deadline)
      return resumed(Current, Now);
    return std::nullopt;
  }
  if (std::optional<RolloutRecord> Next = advanced(Current, Context, Now);
      Next && Now < Current.Deadline)
    return Next;
  if (Now >= Current.Deadline)
    return atSetTime(Current, *Context.Spec, Now);
  if (Current.Deadline != Present.Deadline)
    return Current;
  return std::nullopt;
}

void sign(RolloutRecord &Record, const RolloutContext &Context) {
  Record.DocumentVersion =
      std::max(Record.DocumentVersion, Context.DocumentVersion);
  Record.Epoch = Context.Epoch;
  Record.Holder = Context.Holder;
  Record.OperationId = Context.OperationId;
}

} // namespace

RolloutRecord firstRecord(const RolloutSpec &Spec, const ServiceSpec &Target,
                          RolloutSteps Steps, const RolloutContext &Context,
                          WallTime Now) {
  RolloutRecord Record;
  Record.Name = Spec.Name;
  Record.Service = Spec.Service;
  Record.From = Target.Version;
  Record.To = Spec.To;
  Record.Steps = std::move(Steps);
  Record.Deadline = Spec.Deadline;
  Record.Entered = Now;
  Record.Revision = 1;
  sign(Record, Context);
  return Record;
}

std::optional<RolloutRecord> nextRecord(const RolloutRecord &Present,
                                        const RolloutContext &Context,
                                        WallTime Now) {
  if (Present.final() || Present.Epoch > Context.Epoch)
    return std::nullopt;
  std::optional<RolloutRecord> Next = successor(Present, Context, Now);
  if (!Next && Present.Epoch < Context.Epoch)
    Next = Present;
  if (!Next)
    return std::nullopt;
  Next->Revision = Present.Revision + 1;
  sign(*Next, Context);
  return Next;
}

} // namespace cyclamenwind
