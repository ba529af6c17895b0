#include "cyclamenwind/base/time.h"

#include <cstdio>
#include <ctime>

namespace cyclamenwind {

std::string formatWallTime(WallTime Time) {
  int64_t Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                       Time.time_since_epoch())
                       .count();
  time_t Seconds = Millis / 1000;
  std::tm Parts = {};
  gmtime_r(&Seconds, &Parts);
  char Text[64];
  std::snprintf(Text, sizeof Text, "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                Parts.tm_year + 1900, Parts.tm_mon + 1, Parts.tm_mday,
                Parts.tm_hour, Parts.tm_min, Parts.tm_sec,
                static_cast<int>(Millis % 1000));
  return Text;
}

std::optional<WallTime> parseWallTime(std::string_view Text) {
  std::tm Parts = {};
  std::string Copy(Text);
  const char *Rest = strptime(Copy.c_str(), "%Y-%m-%dT%H:%M:%S", &Parts);
  if (Rest == nullptr)
    return std::nullopt;
  int Millis = 0;
  int Consumed = 0;
  if (*Rest == '.') {
    if (std::sscanf(Rest, ".%3d%n", &Millis, &Consumed) != 1)
      return std::nullopt;
    Rest += Consumed;
  }
  if (std::string_view(Rest) != "Z")
    return std::nullopt;
  WallTime Whole{std::chrono::seconds(timegm(&Parts))};
  return Whole + std::chrono::milliseconds(Millis);
}

} // namespace cyclamenwind
