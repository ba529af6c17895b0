#include "cyclamenwind/rollouts/state_machine.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

RolloutRecord enterPhase(const RolloutRecord &Current, RolloutPhase Phase,
                         WallTime Now) {
  RolloutRecord Next = Current;
  Next.Phase = Phase;
  Next.Entered = Now;
  return Next;
}

RolloutRecord rollBack(const RolloutRecord &Current, const RolloutFault &Fault,
                       WallTime Now) {
  RolloutRecord Next = enterPhase(Current, RolloutPhase::RolledBack, Now);
  Next.Reason = Fault.Reason;
  Next.Detail = Fault.Detail;
  return Next;
}

// Why the document ends the rollout. Returns nothing if it does not.
std::optional<RolloutFault> endedByDocument(const RolloutRecord &Current,
                                            const RolloutContext &Context) {
  if (Context.Spec == nullptr || Context.Target == nullptr)
    return RolloutFault{RolloutReason::Removed, ""};
  if (Context.Spec->To != Current.To ||
      Context.Spec->Service != Current.Service ||
      Context.Target->Version != Current.From)
    return RolloutFault{RolloutReason::DocumentChanged, ""};
  return std::nullopt;
}

RolloutRecord onDeadline(const RolloutRecord &Current, const RolloutSpec &Spec,
                         WallTime Now) {
  RolloutFault Fault = {RolloutReason::DeadlinePassed,
                        std::string(nameOf(Current.Phase))};
  if (Spec.AtSetTime == DeadlineRule::RollBack)
    return rollBack(Current, Fault, Now);
  RolloutRecord Next = enterPhase(Current, RolloutPhase::Undecided, Now);
  Next.Reason = Fault.Reason;
  Next.Detail = Fault.Detail;
  // The share stays as it was: 1 after Holding, 0 after WaitingForServers.
  if (Current.Phase == RolloutPhase::Holding) {
    Next.Steps.push_back({1, 1, 0});
    Next.Step = Next.Steps.size() - 1;
  }
  if (Current.Phase == RolloutPhase::WaitingForServers) {
    Next.Steps.insert(Next.Steps.begin(), RolloutStep{0, 0, 0});
    Next.Step = 0;
  }
  return Next;
}

RolloutRecord nextStep(const RolloutRecord &Current, bool Insufficient,
                       WallTime Now) {
  bool Last = Current.Step + 1 >= Current.Steps.size();
  RolloutRecord Next = enterPhase(
      Current, Last ? RolloutPhase::Holding : RolloutPhase::Stepping, Now);
  if (!Last)
    ++Next.Step;
  Next.InsufficientEvidence = Current.InsufficientEvidence || Insufficient;
  return Next;
}

std::optional<RolloutRecord> advance(const RolloutRecord &Current,
                                     const RolloutContext &Context,
                                     WallTime Now) {
  Duration Held = std::chrono::duration_cast<Duration>(Now - Current.Entered);
  const std::optional<RolloutProgress> &Progress = Context.Progress;
  bool AllApplied = Progress && Progress->Revision == Current.Revision &&
                    Progress->AllApplied;
  switch (Current.Phase) {
  case RolloutPhase::WaitingForServers:
    if (Context.ServersReady)
      return enterPhase(Current, RolloutPhase::Stepping, Now);
    return std::nullopt;
  case RolloutPhase::Stepping: {
    Duration PlannedHold = plannedHold(Current.Steps, Current.Step,
                                       Current.Entered, Current.Deadline);
    bool Insufficient = !Progress || !Progress->EnoughEvidence;
    bool MayAdvanceAnyway =
        Context.Spec->WhenEvidenceIsShort == InsufficientEvidenceRule::Advance;
    if (!AllApplied || Held < PlannedHold ||
        (Insufficient && !MayAdvanceAnyway))
      return std::nullopt;
    return nextStep(Current, Insufficient, Now);
  }
  case RolloutPhase::Holding:
    if (AllApplied && Held >= MinStepHold)
      return enterPhase(Current, RolloutPhase::Done, Now);
    return std::nullopt;
  default:
    return std::nullopt;
  }
}

// Resumes an undecided rollout, at its share, after its deadline was extended.
RolloutRecord resume(const RolloutRecord &Current, WallTime Now) {
  RolloutRecord Next = enterPhase(Current, RolloutPhase::Stepping, Now);
  Next.Reason = RolloutReason::None;
  Next.Detail.clear();
  if (Next.Steps.front().Share == 0) {
    Next.Phase = RolloutPhase::WaitingForServers;
    Next.Steps.erase(Next.Steps.begin());
  }
  return Next;
}

std::optional<RolloutRecord> successor(const RolloutRecord &Current,
                                       const RolloutContext &Context,
                                       WallTime Now) {
  if (Context.Fault)
    return rollBack(Current, *Context.Fault, Now);
  if (Context.DocumentVersion < Current.DocumentVersion)
    return std::nullopt;
  if (std::optional<RolloutFault> Ended = endedByDocument(Current, Context))
    return rollBack(Current, *Ended, Now);
  RolloutRecord Updated = Current;
  Updated.Deadline = Context.Spec->Deadline;
  if (Current.Phase == RolloutPhase::Undecided) {
    if (Now < Updated.Deadline)
      return resume(Updated, Now);
    return std::nullopt;
  }
  if (std::optional<RolloutRecord> Next = advance(Updated, Context, Now);
      Next && Now < Updated.Deadline)
    return Next;
  if (Now >= Updated.Deadline)
    return onDeadline(Updated, *Context.Spec, Now);
  if (Updated.Deadline != Current.Deadline)
    return Updated;
  return std::nullopt;
}

void stampWriter(RolloutRecord &Record, const RolloutContext &Context) {
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
  stampWriter(Record, Context);
  return Record;
}

std::optional<RolloutRecord> nextRecord(const RolloutRecord &Current,
                                        const RolloutContext &Context,
                                        WallTime Now) {
  if (Current.final() || Current.Epoch > Context.Epoch)
    return std::nullopt;
  std::optional<RolloutRecord> Next = successor(Current, Context, Now);
  if (!Next && Current.Epoch < Context.Epoch)
    Next = Current;
  if (!Next)
    return std::nullopt;
  Next->Revision = Current.Revision + 1;
  stampWriter(*Next, Context);
  return Next;
}

} // namespace cyclamenwind
