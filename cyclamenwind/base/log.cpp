#include "cyclamenwind/base/log.h"

#include "cyclamenwind/base/bounded_appender.h"
#include "cyclamenwind/base/text.h"

#include <cstdio>

#include <unistd.h>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace cyclamenwind {
namespace {

const char LoggerName[] = "cyclamenwind";

log4cplus::LogLevel levelOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

// Initialises log4cplus on first use; it stays initialised until the process
// exits.
log4cplus::Initializer &initializer() {
  static log4cplus::Initializer Instance;
  return Instance;
}

void appendHex(std::string &Text, unsigned char C) {
  static const char Digits[] = "0123456789abcdef";
  Text += "\\x";
  Text += Digits[C >> 4];
  Text += Digits[C & 15];
}

// Quotes Value if it is empty or has characters that break key=value parsing.
std::string quoted(const std::string &Value) {
  bool Readable = isUtf8(Value);
  if (!Value.empty() && Readable && isHeaderValue(Value) &&
      Value.find_first_of(" \"=\t\\") == std::string::npos)
    return Value;
  std::string Text = "\"";
  for (char C : Value) {
    if (C == '\n' || C == '\r' || C == '\t') {
      Text += ' ';
    } else if (C == '"' || C == '\\') {
      Text += '\\';
      Text += C;
    } else if (!isHeaderValue({&C, 1}) || (!Readable && (C & 0x80) != 0)) {
      appendHex(Text, static_cast<unsigned char>(C));
    } else {
      Text += C;
    }
  }
  return Text + '"';
}

// Makes Appender the only appender of the logger.
void install(LogLevel Level, const std::string &Member,
             const log4cplus::SharedAppenderPtr &Appender) {
  std::string Pattern =
      "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p member=" + quoted(Member) +
      " %m%n";
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  log4cplus::Logger Logger = log4cplus::Logger::getInstance(LoggerName);
  Logger.removeAllAppenders();
  Logger.addAppender(Appender);
  Logger.setAdditivity(false);
  Logger.setLogLevel(levelOf(Level));
}

// The appender installed by startBoundedLog(); null if there is none.
BoundedAppender *&boundedAppender() {
  static BoundedAppender *Installed = nullptr;
  return Installed;
}

} // namespace

void startLog(LogLevel Level, const std::string &Member) {
  initializer();
  // Line buffering: each event is written with one system call.
  std::setvbuf(stderr, nullptr, _IOLBF, BUFSIZ);
  install(Level, Member,
          log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(
              /*logToStdErr=*/true, /*immediateFlush=*/true)));
}

void startBoundedLog(LogLevel Level, const std::string &Member) {
  initializer();
  auto *Bounded = new BoundedAppender(STDOUT_FILENO, LogBudget());
  // Owned by log4cplus, which keeps it until the process exits.
  boundedAppender() = Bounded;
  install(Level, Member, log4cplus::SharedAppenderPtr(Bounded));
}

uint64_t droppedLogLines() {
  const BoundedAppender *Bounded = boundedAppender();
  return Bounded == nullptr ? 0 : Bounded->dropped();
}

std::string formatEvent(std::string_view Event, LogFields Fields) {
  std::string Line = "event=";
  Line += Event;
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.Key;
    Line += '=';
    Line += quoted(Field.Value);
  }
  return Line;
}

void logEvent(LogLevel Level, std::string_view Event, LogFields Fields) {
  initializer();
  log4cplus::Logger Logger = log4cplus::Logger::getInstance(LoggerName);
  if (Logger.isEnabledFor(levelOf(Level)))
    Logger.log(levelOf(Level), formatEvent(Event, Fields));
}

} // namespace cyclamenwind
