// Time as the library uses it.
//
// Deciding code never reads a clock: the present time is an argument. TimePoint
// is monotonic and local to a process; WallTime is for times that operators set
// or read.

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

// Source of the present time; a service named "clock".
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
  virtual WallTime wallNow() const = 0;
};

// Formats as RFC 3339 in UTC with milliseconds.
std::string formatWallTime(WallTime Time);

// Parses RFC 3339 in UTC ("2026-08-01T12:00:00Z"); nothing if malformed.
std::optional<WallTime> parseWallTime(std::string_view Text);

// Whole milliseconds in Span.
inline int64_t milliseconds(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

} // namespace cyclamenwind

#endif
