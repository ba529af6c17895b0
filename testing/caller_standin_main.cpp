// caller_standin: sends requests at a fixed rate and prints what became of them
// as one line of JSON. Exit status 1 if an answer did not belong to its
// request.

#include "testing/load.h"

#include <iostream>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

namespace {

namespace options = boost::program_options;
using namespace cyclamenwind;
using nlohmann::json;

testing::LoadTarget targetIn(const std::string &Text) {
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
  options::options_description Known("usage: caller_standin [options]");
  Known.add_options()("to", options::value(&Daemons)->required()->multitoken(),
                      "callers' addresses of daemons")(
      "request", options::value(&Requests)->required()->composing(),
      "such as \"GET /baskets/1\"; may be repeated")(
      "rate", options::value(&Options.PerSecond)->default_value(100))(
      "seconds", options::value(&Seconds)->default_value(1))(
      "name", options::value(&Options.Name)->default_value("caller"))(
      "trace", options::value(&Options.Trace)->default_value(""))(
      "body-bytes", options::value(&Options.BodyBytes)->default_value(0));
  try {
    options::variables_map Given;
    options::store(options::parse_command_line(Count, Arguments, Known), Given);
    options::notify(Given);
    for (const std::string &Each : Requests)
      Options.Targets.push_back(targetIn(Each));
    for (const std::string &Each : Daemons) {
      std::optional<Address> Parsed = parseAddress(Each);
      if (!Parsed)
        throw options::error("bad address " + Each);
      Options.Daemons.push_back(*Parsed);
    }
  } catch (const options::error &Error) {
    std::cerr << Error.what() << "\n" << Known;
    return 2;
  }
  Options.Length = Duration(static_cast<int64_t>(Seconds * 1e6));
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
