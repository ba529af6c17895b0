#include "cyclamenwind/operators/audit_roll_up.h"

#include "cyclamenwind/base/log.h"

namespace cyclamenwind {
namespace {

// Limit of the hours that one run processes; the next run continues after them.
constexpr int MaxHoursPerRun = 48;

} // namespace

void AuditRollUp::run(WallTime CurrentTime) {
  if (Running)
    return;
  Running = true;
  Now = CurrentTime;
  HoursLeft = MaxHoursPerRun;
  readCursor();
}

void AuditRollUp::readCursor() {
  Platform.read(AuditCursorKey,
                guarded<PlatformObject>(
                    [this](Result<PlatformObject, PlatformError> Read) {
                      if (!Read) {
                        if (Read.error() == PlatformError::NotFound)
                          createCursor();
                        else
                          finish();
                        return;
                      }
                      std::optional<WallTime> Parsed =
                          parseWallTime(Read.value().Value);
                      if (!Parsed) {
                        logError("audit_cursor_malformed");
                        finish();
                        return;
                      }
                      Cursor = *Parsed;
                      CursorVersion = Read.value().Version;
                      processNextHour();
                    }));
}

// Starts at the hour AuditEntryRetention before the current time, because the
// oldest entries may be as old as that.
void AuditRollUp::createCursor() {
  Cursor = auditHourOf(Now - AuditEntryRetention);
  CursorVersion = 0;
  writeCursor();
}

void AuditRollUp::processNextHour() {
  bool Due = Cursor + AuditEntryRetention < auditHourOf(Now);
  if (Due && HoursLeft > 0) {
    --HoursLeft;
    readHour();
    return;
  }
  if (HoursLeft < MaxHoursPerRun)
    writeCursor();
  else
    finish();
}

void AuditRollUp::readHour() {
  Platform.read(
      auditHourKey(Cursor),
      guarded<PlatformObject>(
          [this](Result<PlatformObject, PlatformError> Read) {
            if (!Read) {
              if (Read.error() == PlatformError::NotFound)
                removeOldDay();
              else
                finish();
              return;
            }
            Result<AuditHour, AuditObjectError> Hour =
                AuditHour::parse(Read.value().Value);
            if (!Hour) {
              logError("audit_hour_malformed", {{"key", Read.value().Key}});
              removeHour(Read.value().Version);
              return;
            }
            seal(Read.value(), std::move(Hour.value()));
          }));
}

void AuditRollUp::seal(const PlatformObject &Object, AuditHour Hour) {
  if (Hour.sealed()) {
    readFollowingHour(Hour, Object.Version);
    return;
  }
  Hour.seal();
  Platform.write(
      Object.Key, Hour.format(), Object.Version,
      guarded<uint64_t>([this, Hour](Result<uint64_t, PlatformError> Written) {
        if (Written)
          readFollowingHour(Hour, Written.value());
        else
          finish();
      }));
}

void AuditRollUp::readFollowingHour(const AuditHour &Hour,
                                    uint64_t HourVersion) {
  Platform.read(
      auditHourKey(Cursor + std::chrono::hours(1)),
      guarded<PlatformObject>([this, Hour, HourVersion](
                                  Result<PlatformObject, PlatformError> Read) {
        if (!Read && Read.error() != PlatformError::NotFound) {
          finish();
          return;
        }
        AuditHour FollowingHour;
        if (Read)
          if (auto Parsed = AuditHour::parse(Read.value().Value))
            FollowingHour = std::move(Parsed.value());
        readDay(Hour, HourVersion, FollowingHour);
      }));
}

void AuditRollUp::readDay(const AuditHour &Hour, uint64_t HourVersion,
                          const AuditHour &FollowingHour) {
  Platform.read(
      auditDayKey(Cursor),
      guarded<PlatformObject>([this, Hour, HourVersion, FollowingHour](
                                  Result<PlatformObject, PlatformError> Read) {
        AuditDay Day;
        if (!Read && Read.error() != PlatformError::NotFound) {
          finish();
          return;
        }
        if (Read) {
          Result<AuditDay, AuditObjectError> Parsed =
              AuditDay::parse(Read.value().Value);
          if (Parsed)
            Day = std::move(Parsed.value());
          else
            logError("audit_day_malformed", {{"key", Read.value().Key}});
        }
        if (Day.includes(auditHourKey(Cursor))) {
          removeHour(HourVersion);
          return;
        }
        Day.fold(auditHourKey(Cursor), Hour, FollowingHour);
        writeDay(Day, Read ? Read.value().Version : 0, HourVersion);
      }));
}

void AuditRollUp::writeDay(const AuditDay &Day, uint64_t DayVersion,
                           uint64_t HourVersion) {
  Platform.write(
      auditDayKey(Cursor), Day.format(), DayVersion,
      guarded<uint64_t>(
          [this, HourVersion](Result<uint64_t, PlatformError> Written) {
            if (Written)
              removeHour(HourVersion);
            else
              finish();
          }));
}

void AuditRollUp::removeHour(uint64_t HourVersion) {
  Platform.remove(
      auditHourKey(Cursor), HourVersion,
      guarded<uint64_t>([this](Result<uint64_t, PlatformError> Removed) {
        if (Removed || Removed.error() == PlatformError::NotFound)
          removeOldDay();
        else
          finish();
      }));
}

// At the first hour of each day, removes the day AuditSummaryRetention before
// it.
void AuditRollUp::removeOldDay() {
  if (auditDayKey(Cursor) == auditDayKey(Cursor - std::chrono::hours(1))) {
    advanceCursor();
    return;
  }
  std::string Key = auditDayKey(Cursor - AuditSummaryRetention);
  Platform.read(Key,
                guarded<PlatformObject>(
                    [this, Key](Result<PlatformObject, PlatformError> Read) {
                      if (Read)
                        removeDayVersion(Key, Read.value().Version);
                      else if (Read.error() == PlatformError::NotFound)
                        advanceCursor();
                      else
                        finish();
                    }));
}

void AuditRollUp::removeDayVersion(const std::string &Key, uint64_t Version) {
  Platform.remove(
      Key, Version,
      guarded<uint64_t>([this](Result<uint64_t, PlatformError> Removed) {
        if (Removed || Removed.error() == PlatformError::NotFound)
          advanceCursor();
        else
          finish();
      }));
}

void AuditRollUp::advanceCursor() {
  Cursor += std::chrono::hours(1);
  processNextHour();
}

void AuditRollUp::writeCursor() {
  Platform.write(
      AuditCursorKey, formatWallTime(Cursor), CursorVersion,
      guarded<uint64_t>([this](Result<uint64_t, PlatformError>) { finish(); }));
}

} // namespace cyclamenwind
