// cyclamenwind-meshd: the daemon beside a backend server on the users'
// platform.
//
//   cyclamenwind-meshd [FILE]          runs with the settings in FILE
//   cyclamenwind-meshd --check [FILE]  checks the settings and ends
//
// FILE defaults to what CYCLAMENWIND_CONFIG names. SIGTERM stops gracefully,
// SIGHUP reads the settings anew. Exit status: 0 ended as asked, 1 an address
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

enum ExitStatus { Ended = 0, AddressInUse = 1, BadUsage = 2, BadSettings = 3 };

void reload(MeshDaemon &Running, const std::string &File) {
  Result<HostSettings, platform::SettingsProblem> Loaded =
      platform::loadSettings(File);
  if (Loaded)
    Running.reload(Loaded.value());
  else
    logError("settings_rejected", {{"message", Loaded.error().text()}});
}

// Texts of configurations and answers are large and short-lived: blocks above
// this size are returned to the system when they are freed.
constexpr int LargeBlockBytes = 32 * 1024;

ExitStatus runDaemon(const HostSettings &Settings, const std::string &File) {
  startBoundedLog(LogLevel::Debug, Settings.Name);
  Loop TheLoop;
  platform::Headers Format;
  platform::Objects Codec;
  MeshAdapters Adapters{Format, Codec, platform::answerReport,
                        platform::names::ReadyPath};
  MeshDaemon Running(TheLoop, Settings, Adapters,
                     platform::makeStoreClient(TheLoop, Settings.Platform,
                                               PlatformCallTimeout));
  if (std::optional<Address> InUse = Running.start()) {
    std::cerr << "error=address_in_use address=" << InUse->text() << "\n";
    return AddressInUse;
  }
  TimerHandle OnTerm =
      TheLoop.onSignal(SIGTERM, [&Running] { Running.shutdown(); });
  TimerHandle OnHangUp =
      TheLoop.onSignal(SIGHUP, [&] { reload(Running, File); });
  TheLoop.run();
  return Ended;
}

} // namespace

int main(int Count, char **Arguments) {
  options::options_description Visible(
      "usage: cyclamenwind-meshd [options] [FILE]");
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
    std::cerr << "cyclamenwind-meshd: " << Error.what() << "\n" << Visible;
    return BadUsage;
  }
  if (Given.count("help") != 0) {
    std::cout << Visible;
    return Ended;
  }
  const char *FromEnvironment = std::getenv("CYCLAMENWIND_CONFIG");
  std::string File = FromEnvironment == nullptr ? "" : FromEnvironment;
  if (Given.count("settings") != 0)
    File = Given["settings"].as<std::string>();
  if (File.empty()) {
    std::cerr << "cyclamenwind-meshd: a file of settings is needed\n"
              << Visible;
    return BadUsage;
  }
  Result<HostSettings, platform::SettingsProblem> Loaded =
      platform::loadSettings(File);
  if (!Loaded) {
    std::cerr << Loaded.error().text() << "\n";
    return BadSettings;
  }
  if (Given.count("check") != 0) {
    std::cout << "settings: ok\n";
    return Ended;
  }
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, LargeBlockBytes);
  ExitStatus Status = runDaemon(Loaded.value(), File);
  // Threads of the logging library may not end in time on a host that is short
  // of processor time; nothing of theirs is needed any more.
  std::cout.flush();
  std::_Exit(Status);
}
