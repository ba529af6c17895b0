#include "cyclamenwind/store/lease.h"

#include "cyclamenwind/base/log.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr double TimerJitter = 0.25;
// The restore epoch is in the upper bits of a fencing token, the revision in
// the lower ones: at 1,000 writes a second these last for 34 years.
constexpr int RevisionBits = 40;

} // namespace

std::string formatLeaseRecord(const LeaseRecord &Record) {
  json Node = {{"holder", Record.Holder}, {"token", Record.Token}};
  if (Record.RestoreEpoch != 0)
    Node["restore_epoch"] = Record.RestoreEpoch;
  return Node.dump();
}

LeaseRecord parseLeaseRecord(const std::string &Value) {
  json Node = json::parse(Value, nullptr, /*allow_exceptions=*/false);
  LeaseRecord Record;
  if (!Node.is_object())
    return Record;
  for (auto &[Name, Field] :
       {std::pair("holder", &Record.Holder), std::pair("token", &Record.Token)})
    if (Node.contains(Name) && Node[Name].is_string())
      *Field = Node[Name].get<std::string>();
  if (Node.contains("restore_epoch") &&
      Node["restore_epoch"].is_number_unsigned())
    Record.RestoreEpoch = Node["restore_epoch"].get<uint64_t>();
  return Record;
}

Lease::Lease(PlatformClient &Platform, Clock &Time, Scheduler &Timers,
             Random &Rng, std::string Key, std::string Holder, Duration Term)
    : Platform(Platform), Time(Time), Timers(Timers), Rng(Rng),
      Key(std::move(Key)), Holder(std::move(Holder)), Term(Term) {
  Platform.onRestored([this, Guard = this->Alive] {
    if (*Guard)
      onRestored();
  });
}

Lease::~Lease() {
  *Alive = false;
  if (CallGuard)
    *CallGuard = false;
}

void Lease::start() {
  if (State != Phase::Stopped)
    return;
  CallGuard = std::make_shared<bool>(true);
  State = Phase::Contending;
  HasObserved = false;
  TokenPrefix = std::to_string(Rng.next()) + ".";
  contend();
}

void Lease::stop() {
  if (State == Phase::Stopped)
    return;
  bool WasHolding = State == Phase::Holding;
  // The version of an expired lease may be another holder's after a restore.
  bool Release = held(Time.now());
  *CallGuard = false;
  AttemptTimer.reset();
  ExpiryTimer.reset();
  State = Phase::Stopped;
  if (Release)
    Platform.write(Key, formatLeaseRecord({"", "", GrantedIn}), ObservedVersion,
                   [](auto) {});
  if (WasHolding && LostHandler)
    LostHandler();
}

void Lease::onRestored() {
  if (State == Phase::Stopped)
    return;
  HasObserved = false;
  if (State == Phase::Holding) {
    lose();
    return;
  }
  *CallGuard = false;
  CallGuard = std::make_shared<bool>(true);
  scheduleAttempt(Duration::zero());
}

bool Lease::held(TimePoint Now) const {
  return State == Phase::Holding && GrantedIn == Platform.restoreEpoch() &&
         Now < ConfirmedWriteSent + Term - margin();
}

void Lease::contend() {
  Platform.read(Key, [this, Guard = CallGuard](
                         Result<PlatformObject, PlatformError> Response) {
    if (*Guard)
      onRead(std::move(Response));
  });
}

void Lease::onRead(Result<PlatformObject, PlatformError> Response) {
  if (!Response && Response.error() != PlatformError::NotFound) {
    scheduleAttempt(Term / 2);
    return;
  }
  PlatformObject Object;
  if (Response)
    Object = Response.value();
  LeaseRecord Record = parseLeaseRecord(Object.Value);
  ObservedHolder = Record.Holder;
  TimePoint Now = Time.now();
  if (mayAcquire(Object, Record, Now))
    write(Object.Version);
  else
    scheduleAttempt(std::min(Term / 2, VersionFirstSeen + Term - Now));
}

// Whether the lease was released, was last written by this process (before it
// was paused), or has not been renewed for a whole term. Object has version 0
// if there is none. Object and Record say nothing about the holder if they may
// be of an older copy.
bool Lease::mayAcquire(const PlatformObject &Object, const LeaseRecord &Record,
                       TimePoint Now) {
  if (!HasObserved || Object.Version != ObservedVersion) {
    HasObserved = true;
    ObservedVersion = Object.Version;
    VersionFirstSeen = Now;
  }
  bool IsOwnWrite = Record.Token.starts_with(TokenPrefix);
  bool OfThisEpoch = Record.RestoreEpoch == Platform.restoreEpoch();
  return (OfThisEpoch && (Record.Holder.empty() || IsOwnWrite)) ||
         Now >= VersionFirstSeen + Term;
}

void Lease::write(uint64_t IfVersion) {
  LastToken = TokenPrefix + std::to_string(++WriteCount);
  TimePoint SentAt = Time.now();
  Platform.write(
      Key, formatLeaseRecord({Holder, LastToken, Platform.restoreEpoch()}),
      IfVersion,
      [this, SentAt,
       Guard = CallGuard](Result<uint64_t, PlatformError> Outcome) {
        if (*Guard)
          onWriteFinished(Outcome, SentAt);
      });
}

void Lease::onWriteFinished(Result<uint64_t, PlatformError> Outcome,
                            TimePoint SentAt) {
  if (Outcome) {
    confirmWrite(Outcome.value(), SentAt);
    return;
  }
  switch (Outcome.error()) {
  case PlatformError::Conflict:
  case PlatformError::NoAnswer:
  case PlatformError::Restored:
  case PlatformError::Malformed:
    readBack(SentAt);
    return;
  default:
    scheduleAttempt(State == Phase::Holding ? Term / 6 : Term / 2);
  }
}

// Reads the object to find out whether the write sent at SentAt took effect.
void Lease::readBack(TimePoint SentAt) {
  Platform.read(Key, [this, SentAt, Guard = CallGuard](
                         Result<PlatformObject, PlatformError> Response) {
    if (!*Guard)
      return;
    if (!Response && Response.error() != PlatformError::NotFound) {
      AttemptTimer =
          Timers.after(Rng.jittered(Term / 6, TimerJitter), [this, SentAt] {
            TimerHandle FiredTimer = std::move(AttemptTimer);
            readBack(SentAt);
          });
      return;
    }
    if (Response &&
        parseLeaseRecord(Response.value().Value).Token == LastToken) {
      confirmWrite(Response.value().Version, SentAt);
      return;
    }
    bool Unchanged = State == Phase::Holding && Response &&
                     Response.value().Version == ObservedVersion;
    if (Unchanged) {
      scheduleAttempt(Term / 6);
      return;
    }
    if (State == Phase::Holding)
      lose();
    else
      onRead(std::move(Response));
  });
}

// Handles a write of this process, sent at SentAt or later, that is known to
// have produced NewVersion.
void Lease::confirmWrite(uint64_t NewVersion, TimePoint SentAt) {
  bool WasHolding = State == Phase::Holding;
  ObservedVersion = NewVersion;
  HasObserved = true;
  VersionFirstSeen = Time.now();
  ObservedHolder = Holder;
  if (Time.now() >= SentAt + Term - margin() ||
      (WasHolding && !held(Time.now()))) {
    if (WasHolding)
      lose();
    else
      contend();
    return;
  }
  ConfirmedWriteSent = SentAt;
  GrantedIn = Platform.restoreEpoch();
  State = Phase::Holding;
  scheduleAttempt(Term / 3);
  armExpiryTimer();
  if (WasHolding)
    return;
  Epoch = (GrantedIn << RevisionBits) | NewVersion;
  logInfo("lease_gained", {{"key", Key}, {"epoch", Epoch}});
  if (GainedHandler)
    GainedHandler();
}

void Lease::lose() {
  logWarning("lease_lost", {{"key", Key}, {"epoch", Epoch}});
  State = Phase::Contending;
  // Drops responses to earlier calls; the next read shows their outcome.
  *CallGuard = false;
  CallGuard = std::make_shared<bool>(true);
  ExpiryTimer.reset();
  scheduleAttempt(Duration::zero());
  if (LostHandler)
    LostHandler();
}

void Lease::scheduleAttempt(Duration Delay) {
  AttemptTimer = Timers.after(Rng.jittered(Delay, TimerJitter), [this] {
    TimerHandle FiredTimer = std::move(AttemptTimer);
    if (State == Phase::Holding)
      renew();
    else
      contend();
  });
}

void Lease::renew() {
  if (held(Time.now()))
    write(ObservedVersion);
  else
    lose();
}

// Detects the expiry on the local clock, without a response from the platform.
void Lease::armExpiryTimer() {
  Duration Remaining = ConfirmedWriteSent + Term - margin() - Time.now();
  ExpiryTimer = Timers.after(std::max(Remaining, Duration::zero()), [this] {
    TimerHandle FiredTimer = std::move(ExpiryTimer);
    if (State != Phase::Holding)
      return;
    if (held(Time.now()))
      armExpiryTimer();
    else
      lose();
  });
}

} // namespace cyclamenwind
