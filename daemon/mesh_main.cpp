// cyclamenwind-meshd: the process that routes requests on a host of the users'
// platform.
//
//   cyclamenwind-meshd [FILE]          runs with the settings in FILE
//   cyclamenwind-meshd --check [FILE]  checks the settings and exits
//
// FILE defaults to the value of CYCLAMENWIND_CONFIG. SIGTERM stops the daemon
// gracefully, SIGHUP rereads the settings. Exit status: 0 success, 1 an address
// is in use, 2 bad usage, 3 bad settings.

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/mesh/mesh_daemon.h"
#include "platform/names.h"
#include "platform/settings.h"
#include "platform/store_client.h"
#include "platform/wire.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <malloc.h>

#include <boost/program_options.hpp>

namespace {

namespace options = boost::program_options;
using namespace cyclamenwind;

enum ExitStatus {
  Success = 0,
  AddressInUse = 1,
  BadUsage = 2,
  BadSettings = 3
};

void reload(MeshDaemon &Daemon, const std::string &File) {
  Result<HostSettings, platform::SettingsProblem> Loaded =
      platform::loadSettings(File);
  if (Loaded)
    Daemon.reload(Loaded.value());
  else
    logError("settings_rejected", {{"message", Loaded.error().text()}});
}

// Buffers of configurations and responses are large and short-lived. Blocks
// above this size are returned to the operating system when they are freed.
constexpr int LargeBlockBytes = 32 * 1024;

ExitStatus runDaemon(const HostSettings &Settings, const std::string &File) {
  startBoundedLog(LogLevel::Debug, Settings.Name);
  Loop TheLoop;
  platform::PlatformHeaderCodec Headers;
  platform::PlatformObjectCodec Objects;
  MeshAdapters Adapters{Headers, Objects, platform::handleReport,
                        platform::names::ReadyPath};
  MeshDaemon Daemon(TheLoop, Settings, Adapters,
                    platform::makeStoreClient(TheLoop, Settings.Platform,
                                              PlatformCallTimeout));
  if (std::optional<Address> InUse = Daemon.start()) {
    std::cerr << "error=address_in_use address=" << InUse->text() << "\n";
    return AddressInUse;
  }
  TimerHandle OnTerm =
      TheLoop.onSignal(SIGTERM, [&Daemon] { Daemon.shutdown(); });
  TimerHandle OnHangUp =
      TheLoop.onSignal(SIGHUP, [&] { reload(Daemon, File); });
  TheLoop.run();
  return Success;
}

} // namespace

int main(int Argc, char **Argv) {
  options::options_description Options(
      "usage: cyclamenwind-meshd [options] [FILE]");
  Options.add_options()("help,h", "show this text")(
      "check", "check the settings in FILE and end")(
      "settings", options::value<std::string>(), "file of settings (TOML)");
  options::positional_options_description Positional;
  Positional.add("settings", 1);
  options::variables_map Parsed;
  try {
    options::store(options::command_line_parser(Argc, Argv)
                       .options(Options)
                       .positional(Positional)
                       .run(),
                   Parsed);
  } catch (const options::error &Error) {
    std::cerr << "cyclamenwind-meshd: " << Error.what() << "\n" << Options;
    return BadUsage;
  }
  if (Parsed.count("help") != 0) {
    std::cout << Options;
    return Success;
  }
  const char *FromEnvironment = std::getenv("CYCLAMENWIND_CONFIG");
  std::string File = FromEnvironment == nullptr ? "" : FromEnvironment;
  if (Parsed.count("settings") != 0)
    File = Parsed["settings"].as<std::string>();
  if (File.empty()) {
    std::cerr << "cyclamenwind-meshd: no settings file given\n" << Options;
    return BadUsage;
  }
  Result<HostSettings, platform::SettingsProblem> Loaded =
      platform::loadSettings(File);
  if (!Loaded) {
    std::cerr << Loaded.error().text() << "\n";
    return BadSettings;
  }
  if (Parsed.count("check") != 0) {
    std::cout << "settings: ok\n";
    return Success;
  }
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, LargeBlockBytes);
  ExitStatus Status = runDaemon(Loaded.value(), File);
  // Exits without waiting for the threads of the logging library, which may not
  // end in time on a host short of processor time; their work is done.
  std::cout.flush();
  std::_Exit(Status);
}
