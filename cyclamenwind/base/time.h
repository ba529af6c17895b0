// Time types and the clock interface.
//
// Code that makes decisions never reads a clock: it takes the current time as
// an argument. TimePoint is monotonic and has a meaning only within one
// process; WallTime is for times that operators set or read.

#ifndef CYCLAMENWIND_BASE_TIME_H
#define CYCLAMENWIND_BASE_TIME_H

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenwind {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

inline namespace literals {
using namespace std::chrono_literals;
} // namespace literals

// Source of the current time; tests replace it by virtual time.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
  virtual WallTime wallNow() const = 0;

  // Time since the start of the host. Unlike now(), it also counts the time for
  // which the host was suspended; for the end of a permission, and for
  // differences of the clocks of two hosts.
  virtual Duration sinceBoot() const { return now().time_since_epoch(); }
};

// Formats Time as RFC 3339 in UTC with milliseconds.
std::string formatWallTime(WallTime Time);

// Parses a time in RFC 3339 in UTC, such as "2026-08-01T12:00:00Z", with an
// optional fraction of up to three digits, read as a number of milliseconds.
// Returns nothing if Text is malformed.
std::optional<WallTime> parseWallTime(std::string_view Text);

// Returns Span in whole milliseconds, rounded towards zero.
inline int64_t milliseconds(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

} // namespace cyclamenwind

#endif
