// Settings of a daemon, read from a TOML file.
//
//   [member]
//   id = "midrand-a-basket-1"        # unique in the fleet
//   failure_domain = "midrand-a"
//   region = "gauteng"
//
//   [addresses]
//   callers = "127.0.0.1:7000"       # HTTP, for callers
//   peers = "127.0.0.1:7100"         # TCP and UDP, for other daemons
//   operators = "127.0.0.1:7200"     # HTTP, for operators and for
//                                    # registrations of backend servers
//   platform = "127.0.0.1:7900"      # HTTP, the platform's object API
//
// All other keys have the defaults of the structs below. An unknown key, a
// wrong type and a value out of range are errors that name file, line and key;
// checking stops at the first error.

#ifndef CYCLAMENWIND_BASE_SETTINGS_H
#define CYCLAMENWIND_BASE_SETTINGS_H

#include "cyclamenwind/base/address.h"
#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/result.h"
#include "cyclamenwind/base/time.h"

#include <string>
#include <vector>

namespace cyclamenwind {

enum class SettingsErrorCode {
  Unreadable,
  Syntax,
  UnknownKey,
  WrongType,
  OutOfRange,
  Missing,
};

std::string_view nameOf(SettingsErrorCode Code);

struct SettingsError {
  SettingsErrorCode Code;
  std::string File;
  int Line = 0; // 0 if the error concerns the whole file.
  std::string Key;
  std::string Message;

  // Formats the error as one line of key=value pairs.
  std::string text() const;
};

struct MemberSettings {
  std::string Id;
  std::string FailureDomain;
  std::string Region;
};

struct AddressSettings {
  Address Callers;
  Address Peers;
  Address Operators;
  Address Platform;
};

struct LogSettings {
  LogLevel Level = LogLevel::Info;
};

// Rate limit (calls per second, burst) and timeout of calls to the platform.
struct PlatformSettings {
  double CallsPerSecond = 5.0;
  int Burst = 20;
  Duration Timeout = 2s;
};

struct ConfigSettings {
  // If set, each daemon watches the platform itself instead of using relays.
  bool WatchDirectly = false;
  int RelaysPerDomain = 2;
};

struct MembershipSettings {
  Duration GossipPeriod = 200ms;
  Duration ProbePeriod = 500ms;
  // A registration of a backend server expires if it is not renewed within this
  // lease.
  Duration AnnouncementLifetime = 3s;
  // Seed list: peers through which this daemon joins if the platform cannot be
  // read; at most 32.
  std::vector<Address> Seeds;
};

struct TrafficSettings {
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxBodyBytes = 1024 * 1024;
  int QueuePerSlot = 2;
  int ConnectionsPerServer = 100;
  Duration DrainLimit = 20s;
};

struct OperatorSettings {
  // Token that operators must send with writes; if empty, all writes are
  // refused.
  std::string Token;
};

struct Settings {
  MemberSettings Member;
  AddressSettings Addresses;
  LogSettings Log;
  PlatformSettings Platform;
  ConfigSettings Config;
  MembershipSettings Membership;
  TrafficSettings Traffic;
  OperatorSettings Operators;
};

// Reads and checks the settings in File.
Result<Settings, SettingsError> loadSettings(const std::string &File);

// Parses and checks Text; errors name File as its origin.
Result<Settings, SettingsError> parseSettings(std::string_view Text,
                                              const std::string &File);

} // namespace cyclamenwind

#endif
