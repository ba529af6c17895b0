// caller_standin: sends requests at a fixed rate and prints the counts of their
// outcomes as one line of JSON. Exits with status 1 if a response did not
// belong to its request, 2 on bad usage.

#include "testing/load.h"

#include <iostream>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

namespace {

namespace options = boost::program_options;
using namespace cyclamenwind;
using nlohmann::json;

testing::LoadTarget parseTarget(const std::string &Text) {
  size_t Space = Text.find(' ');
  if (Space == std::string::npos)
    throw options::error("a request is written \"METHOD /path\"");
  return {Text.substr(0, Space), Text.substr(Space + 1)};
}

json jsonOf(const testing::LoadResult &Total) {
  return {{"sent", Total.Sent},
          {"answered", Total.Answered},
          {"failed", Total.Failed},
          {"refused", Total.Refused},
          {"unknown", Total.Unknown},
          {"mismatched", Total.Mismatched},
          {"reasons", Total.Reasons},
          {"p50_us", Total.quantile(0.5).count()},
          {"p99_us", Total.quantile(0.99).count()}};
}

} // namespace

int main(int Count, char **Arguments) {
  testing::LoadOptions Options;
  std::vector<std::string> Daemons;
  std::vector<std::string> Requests;
  double Seconds = 1;
  options::options_description Description("usage: caller_standin [options]");
  Description.add_options()("to",
                            options::value(&Daemons)->required()->multitoken(),
                            "callers' addresses of daemons")(
      "request", options::value(&Requests)->required()->composing(),
      "such as \"GET /baskets/1\"; may be repeated")(
      "rate", options::value(&Options.PerSecond)->default_value(100))(
      "seconds", options::value(&Seconds)->default_value(1))(
      "name", options::value(&Options.Name)->default_value("caller"))(
      "trace", options::value(&Options.Trace)->default_value(""))(
      "body-bytes", options::value(&Options.BodyBytes)->default_value(0));
  try {
    options::variables_map Parsed;
    options::store(options::parse_command_line(Count, Arguments, Description),
                   Parsed);
    options::notify(Parsed);
    for (const std::string &Request : Requests)
      Options.Targets.push_back(parseTarget(Request));
    for (const std::string &Daemon : Daemons) {
      std::optional<Address> DaemonAddress = parseAddress(Daemon);
      if (!DaemonAddress)
        throw options::error("bad address " + Daemon);
      Options.Daemons.push_back(*DaemonAddress);
    }
  } catch (const options::error &Error) {
    std::cerr << Error.what() << "\n" << Description;
    return 2;
  }
  Options.RunTime = Duration(static_cast<int64_t>(Seconds * 1e6));
  Loop TheLoop(TimerPrecision::Precise);
  testing::LoadResult Total;
  testing::Load Caller(TheLoop, Options,
                       [&](const testing::LoadResult &Result) {
                         Total = Result;
                         TheLoop.stop();
                       });
  TheLoop.run();
  std::cout << jsonOf(Total).dump() << "\n";
  return Total.Mismatched == 0 ? 0 : 1;
}
