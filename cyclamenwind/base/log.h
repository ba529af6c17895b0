// Event log: one line of key=value pairs for each event, through log4cplus.
//
//   logInfo("config_applied", {{"version", "7"}, {"digest", "9c..."}});
//
// Event names are stable; docs/OPERATIONS.md lists them.

#ifndef CYCLAMENWIND_BASE_LOG_H
#define CYCLAMENWIND_BASE_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace cyclamenwind {

enum class LogLevel { Debug, Info, Warning, Error };

// One key=value pair. Numbers are formatted in decimal.
struct LogField {
  LogField(std::string_view Key, std::string_view Text)
      : Key(Key), Value(Text) {}
  LogField(std::string_view Key, const char *Text) : Key(Key), Value(Text) {}
  LogField(std::string_view Key, char *Text) : Key(Key), Value(Text) {}
  LogField(std::string_view Key, const std::string &Text)
      : Key(Key), Value(Text) {}
  template <typename Number>
  LogField(std::string_view Key, Number Value)
      : Key(Key), Value(std::to_string(Value)) {}

  std::string_view Key;
  std::string Value;
};

using LogFields = std::initializer_list<LogField>;

// Directs the log to standard error at Level; Member is added to each line.
void startLog(LogLevel Level, const std::string &Member);

// Directs the log to standard output at Level, without ever blocking and within
// the budget of bounded_appender.h.
void startBoundedLog(LogLevel Level, const std::string &Member);

// Lines that the budget or a full pipe kept from a bounded log since the start.
uint64_t droppedLogLines();

void logEvent(LogLevel Level, std::string_view Event, LogFields Fields);

inline void logInfo(std::string_view Event, LogFields Fields = {}) {
  logEvent(LogLevel::Info, Event, Fields);
}
inline void logWarning(std::string_view Event, LogFields Fields = {}) {
  logEvent(LogLevel::Warning, Event, Fields);
}
inline void logError(std::string_view Event, LogFields Fields = {}) {
  logEvent(LogLevel::Error, Event, Fields);
}

} // namespace cyclamenwind

#endif
