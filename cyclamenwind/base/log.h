// Event log: writes each event as one line of key=value pairs, through
// log4cplus.
//
//   logInfo("config_applied", {{"version", "7"}, {"digest", "9c..."}});
//
// Operators' tools match event names, so they must not change;
// docs/OPERATIONS.md lists them.

#ifndef CYCLAMENWIND_BASE_LOG_H
#define CYCLAMENWIND_BASE_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace cyclamenwind {

enum class LogLevel { Debug, Info, Warning, Error };

// One key=value pair. Numbers are formatted in decimal. Key is not copied.
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

// Writes events of Level and above to standard error, each with member=Member.
void startLog(LogLevel Level, const std::string &Member);

// Writes events of Level and above to standard output, each with member=Member,
// through a BoundedAppender with the default LogBudget: it never blocks.
void startBoundedLog(LogLevel Level, const std::string &Member);

// Returns the number of lines that the bounded log dropped since the start,
// because of its budget or a full pipe; 0 without a bounded log.
uint64_t droppedLogLines();

void logEvent(LogLevel Level, std::string_view Event, LogFields Fields);

// The text of an event: event=EVENT followed by the fields. A value with
// blanks, quotes, backslashes or equal signs is quoted; line breaks and tabs
// become spaces. Other control characters and bytes that are not UTF-8 are
// written as \xNN, so that the log is text whatever others sent.
std::string formatEvent(std::string_view Event, LogFields Fields);

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
