// cyclamenwindd: the daemon beside a backend server.
//
//   cyclamenwindd FILE          runs with the settings in FILE
//   cyclamenwindd --check FILE  checks the settings and ends
//
// Exit status: 0 ended as asked, 1 an address is in use, 2 bad usage,
// 3 bad settings.

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/daemon/daemon.h"
#include "platform/store_client.h"

#include <csignal>
#include <iostream>

#include <boost/program_options.hpp>

namespace {

namespace options = boost::program_options;
using namespace cyclamenwind;

enum ExitStatus { Ended = 0, AddressInUse = 1, BadUsage = 2, BadSettings = 3 };

int runDaemon(const Settings &TheSettings) {
  startLog(TheSettings.Log.Level, TheSettings.Member.Id);
  Loop TheLoop;
  Result<std::unique_ptr<Daemon>, DaemonError> Made = Daemon::create(
      TheLoop, TheSettings,
      platform::makeStoreClient(TheLoop, TheSettings.Addresses.Platform,
                                TheSettings.Platform.Timeout));
  if (!Made) {
    std::cerr << Made.error().text() << "\n";
    return AddressInUse;
  }
  Daemon &TheDaemon = *Made.value();
  TimerHandle OnTerm =
      TheLoop.onSignal(SIGTERM, [&TheDaemon] { TheDaemon.shutdown(); });
  TimerHandle OnInterrupt =
      TheLoop.onSignal(SIGINT, [&TheDaemon] { TheDaemon.shutdown(); });
  TheDaemon.start();
  TheLoop.run();
  return Ended;
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description Visible("usage: cyclamenwindd [options] FILE");
  Visible.add_options()("help,h", "show this text")(
      "check", "check the settings in FILE and end")(
      "settings", options::value<std::string>(), "file of settings (TOML)");
  options::positional_options_description Positional;
  Positional.add("settings", 1);
  options::variables_map Given;
  try {
    options::store(options::command_line_parser(Count, Arguments)
                       .options(Visible)
                       .positional(Positional)
                       .run(),
                   Given);
  } catch (const options::error &Error) {
    std::cerr << "cyclamenwindd: " << Error.what() << "\n" << Visible;
    return BadUsage;
  }
  if (Given.count("help") != 0) {
    std::cout << Visible;
    return Ended;
  }
  if (Given.count("settings") == 0) {
    std::cerr << "cyclamenwindd: a file of settings is needed\n" << Visible;
    return BadUsage;
  }
  Result<Settings, SettingsError> Loaded =
      loadSettings(Given["settings"].as<std::string>());
  if (!Loaded) {
    std::cerr << Loaded.error().text() << "\n";
    return BadSettings;
  }
  if (Given.count("check") != 0) {
    std::cout << "settings: ok\n";
    return Ended;
  }
  return runDaemon(Loaded.value());
}
