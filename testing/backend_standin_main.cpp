// backend_standin: a backend server for tests and the quickstart.

#include "testing/backend_standin.h"

#include <csignal>
#include <cstdio>
#include <iostream>

#include <boost/program_options.hpp>

namespace {

namespace options = boost::program_options;
using namespace cyclamenwind;

Address addressIn(const options::variables_map &Parsed, const char *Name) {
  std::optional<Address> Value = parseAddress(Parsed[Name].as<std::string>());
  if (!Value)
    throw options::error(std::string("bad address in --") + Name);
  return *Value;
}

} // namespace

int main(int Count, char **Arguments) {
  testing::BackendOptions Options;
  int64_t WorkMs = 0;
  int64_t FaultAfterMs = 0;
  testing::BackendBehaviour &Behaviour = Options.Behaviour;
  options::options_description Description("usage: backend_standin [options]");
  Description.add_options()("listen",
                            options::value<std::string>()->required())(
      "daemon", options::value<std::string>()->required())(
      "service", options::value(&Options.Service)->required())(
      "version", options::value(&Options.Version)->required())(
      "slots", options::value(&Options.Slots)->default_value(10))(
      "seed", options::value(&Options.Seed)->default_value(1))(
      "trace", options::value(&Options.Trace)->default_value(""))(
      "work-ms", options::value(&WorkMs)->default_value(5))(
      "fail-rate", options::value(&Behaviour.FailRate)->default_value(0))(
      "slow-factor", options::value(&Behaviour.SlowFactor)->default_value(1))(
      "fault-after-ms", options::value(&FaultAfterMs)->default_value(0))(
      "fault-above-running",
      options::value(&Behaviour.FaultAboveRunning)->default_value(0))(
      "fault-path", options::value(&Behaviour.FaultPath)->default_value(""));
  try {
    options::variables_map Parsed;
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Parsed);
    options::notify(Parsed);
    Options.Listen = addressIn(Parsed, "listen");
    Options.Daemon = addressIn(Parsed, "daemon");
  } catch (const options::error &Error) {
    std::cerr << Error.what() << "\n" << Description;
    return 2;
  }
  Behaviour.Work = std::chrono::milliseconds(WorkMs);
  Behaviour.FaultAfter = std::chrono::milliseconds(FaultAfterMs);
  Loop TheLoop(TimerPrecision::Precise);
  testing::BackendStandin Standin(TheLoop, Options);
  TimerHandle OnTerm = TheLoop.onSignal(SIGTERM, [&] { Standin.drain(); });
  TheLoop.run();
  return 0;
}
