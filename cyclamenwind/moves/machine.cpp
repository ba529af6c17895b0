#include "cyclamenwind/moves/machine.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

MoveRecord entered(const MoveRecord &Present, MoveState State, WallTime Now) {
  MoveRecord Next = Present;
  Next.State = State;
  Next.Entered = Now;
  return Next;
}

MoveRecord takenBack(const MoveRecord &Present, const MoveFault &Why,
                     WallTime Now) {
  MoveRecord Next = entered(Present, MoveState::TakenBack, Now);
  Next.Reason = Why.Reason;
  Next.Detail = Why.Detail;
  return Next;
}

// The operators' reason to end the move, if the document gives one.
std::optional<MoveFault> endedByDocument(const MoveRecord &Present,
                                         const MoveContext &Context) {
  if (Context.Spec == nullptr || Context.Target == nullptr)
    return MoveFault{MoveReason::Removed, ""};
  if (Context.Spec->To != Present.To ||
      Context.Spec->Service != Present.Service ||
      Context.Target->Version != Present.From)
    return MoveFault{MoveReason::DocumentChanged, ""};
  return std::nullopt;
}

MoveRecord atSetTime(const MoveRecord &Present, const MoveSpec &Spec,
                     WallTime Now) {
  MoveFault Late = {MoveReason::SetTimePassed,
                    std::string(nameOf(Present.State))};
  if (Spec.AtSetTime == SetTimeRule::TakeBack)
    return takenBack(Present, Late, Now);
  MoveRecord Next = entered(Present, MoveState::Undecided, Now);
  Next.Reason = Late.Reason;
  Next.Detail = Late.Detail;
  // An undecided move keeps the share it had; "holding" is the whole.
  if (Present.State == MoveState::Holding) {
    Next.Steps.push_back({1, 1, 0});
    Next.Step = Next.Steps.size() - 1;
  }
  if (Present.State == MoveState::WaitingForServers) {
    Next.Steps.insert(Next.Steps.begin(), MoveStep{0, 0, 0});
    Next.Step = 0;
  }
  return Next;
}

MoveRecord nextStep(const MoveRecord &Present, bool Short, WallTime Now) {
  bool Last = Present.Step + 1 >= Present.Steps.size();
  MoveRecord Next =
      entered(Present, Last ? MoveState::Holding : MoveState::Stepping, Now);
  if (!Last)
    ++Next.Step;
  Next.ShortOfEvidence = Present.ShortOfEvidence || Short;
  return Next;
}

std::optional<MoveRecord> advanced(const MoveRecord &Present,
                                   const MoveContext &Context, WallTime Now) {
  Duration Held = std::chrono::duration_cast<Duration>(Now - Present.Entered);
  const std::optional<MoveStanding> &Standing = Context.Standing;
  bool Carried =
      Standing && Standing->Revision == Present.Revision && Standing->AllCarry;
  switch (Present.State) {
  case MoveState::WaitingForServers:
    if (Context.ServersReady)
      return entered(Present, MoveState::Stepping, Now);
    return std::nullopt;
  case MoveState::Stepping: {
    Duration Planned = plannedHold(Present.Steps, Present.Step, Present.Entered,
                                   Present.DoneBy);
    bool Short = !Standing || !Standing->EnoughEvidence;
    bool MayBeShort =
        Context.Spec->WhenEvidenceIsShort == ShortEvidenceRule::Advance;
    if (!Carried || Held < Planned || (Short && !MayBeShort))
      return std::nullopt;
    return nextStep(Present, Short, Now);
  }
  case MoveState::Holding:
    if (Carried && Held >= MinStepHold)
      return entered(Present, MoveState::Done, Now);
    return std::nullopt;
  default:
    return std::nullopt;
  }
}

// An undecided move goes on where it stood when its set time is put off.
MoveRecord resumed(const MoveRecord &Present, WallTime Now) {
  MoveRecord Next = entered(Present, MoveState::Stepping, Now);
  Next.Reason = MoveReason::None;
  Next.Detail.clear();
  if (Next.Steps.front().Share == 0) {
    Next.State = MoveState::WaitingForServers;
    Next.Steps.erase(Next.Steps.begin());
  }
  return Next;
}

std::optional<MoveRecord> successor(const MoveRecord &Present,
                                    const MoveContext &Context, WallTime Now) {
  if (Context.Fault)
    return takenBack(Present, *Context.Fault, Now);
  if (Context.DocumentVersion < Present.DocumentVersion)
    return std::nullopt;
  if (std::optional<MoveFault> Ended = endedByDocument(Present, Context))
    return takenBack(Present, *Ended, Now);
  MoveRecord Current = Present;
  Current.DoneBy = Context.Spec->DoneBy;
  if (Present.State == MoveState::Undecided) {
    if (Now < Current.DoneBy)
      return resumed(Current, Now);
    return std::nullopt;
  }
  if (std::optional<MoveRecord> Next = advanced(Current, Context, Now);
      Next && Now < Current.DoneBy)
    return Next;
  if (Now >= Current.DoneBy)
    return atSetTime(Current, *Context.Spec, Now);
  if (Current.DoneBy != Present.DoneBy)
    return Current;
  return std::nullopt;
}

void sign(MoveRecord &Record, const MoveContext &Context) {
  Record.DocumentVersion =
      std::max(Record.DocumentVersion, Context.DocumentVersion);
  Record.Epoch = Context.Epoch;
  Record.Holder = Context.Holder;
  Record.OperationId = Context.OperationId;
}

} // namespace

MoveRecord firstRecord(const MoveSpec &Spec, const ServiceSpec &Target,
                       MoveSteps Steps, const MoveContext &Context,
                       WallTime Now) {
  MoveRecord Record;
  Record.Name = Spec.Name;
  Record.Service = Spec.Service;
  Record.From = Target.Version;
  Record.To = Spec.To;
  Record.Steps = std::move(Steps);
  Record.DoneBy = Spec.DoneBy;
  Record.Entered = Now;
  Record.Revision = 1;
  sign(Record, Context);
  return Record;
}

std::optional<MoveRecord> nextRecord(const MoveRecord &Present,
                                     const MoveContext &Context, WallTime Now) {
  if (Present.final() || Present.Epoch > Context.Epoch)
    return std::nullopt;
  std::optional<MoveRecord> Next = successor(Present, Context, Now);
  if (!Next && Present.Epoch < Context.Epoch)
    Next = Present;
  if (!Next)
    return std::nullopt;
  Next->Revision = Present.Revision + 1;
  sign(*Next, Context);
  return Next;
}

} // namespace cyclamenwind
