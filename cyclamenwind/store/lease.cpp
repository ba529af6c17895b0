#include "cyclamenwind/store/lease.h"

#include "cyclamenwind/base/log.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr double PollSpread = 0.25;

} // namespace

std::string formatLeaseRecord(const LeaseRecord &Record) {
  return json({{"holder", Record.Holder}, {"token", Record.Token}}).dump();
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
  return Record;
}

Lease::Lease(PlatformClient &Platform, Clock &Time, Scheduler &Timers,
             Random &Rng, std::string Key, std::string Holder, Duration Term)
    : Platform(Platform), Time(Time), Timers(Timers), Rng(Rng),
      Key(std::move(Key)), Holder(std::move(Holder)), Term(Term) {}

Lease::~Lease() {
  if (Running)
    *Running = false;
}

void Lease::start() {
  if (State != Phase::Stopped)
    return;
  Running = std::make_shared<bool>(true);
  State = Phase::Contending;
  Seen = false;
  Instance = std::to_string(Rng.next()) + ".";
  contend();
}

void Lease::stop() {
  if (State == Phase::Stopped)
    return;
  bool Release = State == Phase::Holding;
  *Running = false;
  Next.reset();
  Expiry.reset();
  State = Phase::Stopped;
  if (Release) {
    Platform.write(Key, formatLeaseRecord({}), Version, [](auto) {});
    if (Lost)
      Lost();
  }
}

bool Lease::held(TimePoint Now) const {
  return State == Phase::Holding && Now < Confirmed + Term - margin();
}

void Lease::contend() {
  Platform.read(
      Key, [this, Alive = Running](Result<PlatformObject, PlatformError> Read) {
        if (*Alive)
          observe(std::move(Read));
      });
}

void Lease::observe(Result<PlatformObject, PlatformError> Read) {
  if (!Read && Read.error() == PlatformError::NotFound) {
    ObservedHolder.clear();
    write(0);
    return;
  }
  if (!Read) {
    scheduleNext(Term / 2);
    return;
  }
  const PlatformObject &Object = Read.value();
  LeaseRecord Record = parseLeaseRecord(Object.Value);
  ObservedHolder = Record.Holder;
  TimePoint Now = Time.now();
  if (mayTake(Object, Record, Now))
    write(Object.Version);
  else
    scheduleNext(std::min(Term / 2, VersionSince + Term - Now));
}

// Whether the holder released the lease, is this process before a pause, or has
// not renewed for a whole term.
bool Lease::mayTake(const PlatformObject &Object, const LeaseRecord &Record,
                    TimePoint Now) {
  if (!Seen || Object.Version != Version) {
    Seen = true;
    Version = Object.Version;
    VersionSince = Now;
  }
  bool Own = Record.Token.starts_with(Instance);
  return Record.Holder.empty() || Own || Now >= VersionSince + Term;
}

void Lease::write(uint64_t IfVersion) {
  Token = Instance + std::to_string(++Writes);
  TimePoint Sent = Time.now();
  Platform.write(
      Key, formatLeaseRecord({Holder, Token}), IfVersion,
      [this, Sent, Alive = Running](Result<uint64_t, PlatformError> Outcome) {
        if (*Alive)
          writeEnded(Outcome, Sent);
      });
}

void Lease::writeEnded(Result<uint64_t, PlatformError> Outcome,
                       TimePoint Sent) {
  if (Outcome) {
    confirm(Outcome.value(), Sent);
    return;
  }
  switch (Outcome.error()) {
  case PlatformError::Conflict:
  case PlatformError::NoAnswer:
  case PlatformError::Malformed:
    readBack(Sent);
    return;
  default:
    scheduleNext(State == Phase::Holding ? Term / 6 : Term / 2);
  }
}

// Learns whether the write sent at Sent took effect.
void Lease::readBack(TimePoint Sent) {
  Platform.read(Key, [this, Sent, Alive = Running](
                         Result<PlatformObject, PlatformError> Read) {
    if (!*Alive)
      return;
    if (!Read && Read.error() != PlatformError::NotFound) {
      Next = Timers.after(Rng.jittered(Term / 6, PollSpread), [this, Sent] {
        TimerHandle Fired = std::move(Next);
        readBack(Sent);
      });
      return;
    }
    if (Read && parseLeaseRecord(Read.value().Value).Token == Token) {
      confirm(Read.value().Version, Sent);
      return;
    }
    bool Unchanged =
        State == Phase::Holding && Read && Read.value().Version == Version;
    if (Unchanged) {
      scheduleNext(Term / 6);
      return;
    }
    if (State == Phase::Holding)
      lose();
    else
      observe(std::move(Read));
  });
}

// The object's version NewVersion was written by this process at Sent or after.
void Lease::confirm(uint64_t NewVersion, TimePoint Sent) {
  bool WasHolding = State == Phase::Holding;
  Version = NewVersion;
  Seen = true;
  VersionSince = Time.now();
  ObservedHolder = Holder;
  if (Time.now() >= Sent + Term - margin() ||
      (WasHolding && !held(Time.now()))) {
    if (WasHolding)
      lose();
    else
      contend();
    return;
  }
  Confirmed = Sent;
  State = Phase::Holding;
  scheduleNext(Term / 3);
  checkExpiry();
  if (WasHolding)
    return;
  Epoch = NewVersion;
  logInfo("lease_gained", {{"key", Key}, {"epoch", Epoch}});
  if (Gained)
    Gained();
}

void Lease::lose() {
  logWarning("lease_lost", {{"key", Key}, {"epoch", Epoch}});
  State = Phase::Contending;
  // Answers to earlier calls are dropped; the next read tells their outcome.
  *Running = false;
  Running = std::make_shared<bool>(true);
  Expiry.reset();
  scheduleNext(Duration::zero());
  if (Lost)
    Lost();
}

void Lease::scheduleNext(Duration Delay) {
  Next = Timers.after(Rng.jittered(Delay, PollSpread), [this] {
    TimerHandle Fired = std::move(Next);
    if (State == Phase::Holding)
      renew();
    else
      contend();
  });
}

void Lease::renew() {
  if (held(Time.now()))
    write(Version);
  else
    lose();
}

// Notices a lapse without waiting for the platform.
void Lease::checkExpiry() {
  Duration Left = Confirmed + Term - margin() - Time.now();
  Expiry = Timers.after(std::max(Left, Duration::zero()), [this] {
    TimerHandle Fired = std::move(Expiry);
    if (State != Phase::Holding)
      return;
    if (held(Time.now()))
      checkExpiry();
    else
      lose();
  });
}

} // namespace cyclamenwind
