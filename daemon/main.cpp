// cyclamenwindd: the daemon that runs on each host with a backend server.
//
//   cyclamenwindd FILE          runs with the settings in FILE
//   cyclamenwindd --check FILE  checks the settings in FILE and exits
//
// Exit status: 0 on success, 1 if an address cannot be bound, 2 if the command
// line is invalid, 3 if the settings are invalid.

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/daemon/daemon.h"
#include "platform/store_client.h"

#include <csignal>
#include <iostream>

#include <boost/program_options.hpp>

namespace {

namespace options = boost::program_options;
using namespace cyclamenwind;

enum ExitStatus {
  Success = 0,
  AddressNotBound = 1,
  InvalidUsage = 2,
  InvalidSettings = 3
};

int runDaemon(const Settings &TheSettings) {
  startLog(TheSettings.Log.Level, TheSettings.Member.Id);
  Loop TheLoop;
  Result<std::unique_ptr<Daemon>, DaemonError> Created = Daemon::create(
      TheLoop, TheSettings,
      platform::makeStoreClient(TheLoop, TheSettings.Addresses.Platform,
                                TheSettings.Platform.Timeout));
  if (!Created) {
    std::cerr << Created.error().text() << "\n";
    return AddressNotBound;
  }
  Daemon &TheDaemon = *Created.value();
  TimerHandle TermHandler =
      TheLoop.onSignal(SIGTERM, [&TheDaemon] { TheDaemon.shutdown(); });
  TimerHandle InterruptHandler =
      TheLoop.onSignal(SIGINT, [&TheDaemon] { TheDaemon.shutdown(); });
  TheDaemon.start();
  TheLoop.run();
  return Success;
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description Visible("usage: cyclamenwindd [options] FILE");
  Visible.add_options()("help,h", "show this text")(
      "check", "check the settings in FILE and end")(
      "settings", options::value<std::string>(), "file of settings (TOML)");
  options::positional_options_description Positional;
  Positional.add("settings", 1);
  options::variables_map ParsedOptions;
  try {
    options::store(options::command_line_parser(Count, Arguments)
                       .options(Visible)
                       .positional(Positional)
                       .run(),
                   ParsedOptions);
  } catch (const options::error &Error) {
    std::cerr << "cyclamenwindd: " << Error.what() << "\n" << Visible;
    return InvalidUsage;
  }
  if (ParsedOptions.count("help") != 0) {
    std::cout << Visible;
    return Success;
  }
  if (ParsedOptions.count("settings") == 0) {
    std::cerr << "cyclamenwindd: no settings file given\n" << Visible;
    return InvalidUsage;
  }
  Result<Settings, SettingsError> Loaded =
      loadSettings(ParsedOptions["settings"].as<std::string>());
  if (!Loaded) {
    std::cerr << Loaded.error().text() << "\n";
    return InvalidSettings;
  }
  if (ParsedOptions.count("check") != 0) {
    std::cout << "settings: ok\n";
    return Success;
  }
  return runDaemon(Loaded.value());
}
