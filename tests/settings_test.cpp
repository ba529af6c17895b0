#include "cyclamenwind/base/settings.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;

namespace {

const std::string Good = R"([member]
id = "a-1"
failure_domain = "a"
region = "r"
[addresses]
callers = "127.0.0.1:7000"
peers = "127.0.0.1:7100"
operators = "127.0.0.1:7200"
platform = "127.0.0.1:7900"
)";

SettingsError parseError(const std::string &Text) {
  Result<Settings, SettingsError> Parsed = parseSettings(Text, "f.toml");
  REQUIRE_FALSE(Parsed);
  return Parsed.error();
}

} // namespace

TEST_CASE("settings that are not given take their defaults") {
  Result<Settings, SettingsError> Parsed = parseSettings(Good, "f.toml");
  REQUIRE(Parsed);
  CHECK(Parsed.value().Addresses.Peers.Port == 7100);
  CHECK(Parsed.value().Traffic.ConnectionsPerServer == 100);
}

TEST_CASE("an error in the settings names file, line and key") {
  SettingsError Unknown = parseError(Good + "[traffic]\ncolour = 1\n");
  CHECK(Unknown.Code == SettingsErrorCode::UnknownKey);
  CHECK(Unknown.Key == "traffic.colour");
  CHECK(Unknown.Line == 11);
  CHECK(Unknown.File == "f.toml");
  SettingsError Type = parseError(Good + "[traffic]\nqueue_per_slot = \"x\"\n");
  CHECK(Type.Code == SettingsErrorCode::WrongType);
  SettingsError Range = parseError(Good + "[traffic]\nqueue_per_slot = 1000\n");
  CHECK(Range.Code == SettingsErrorCode::OutOfRange);
  CHECK(parseError("[member]\n").Code == SettingsErrorCode::Missing);
  CHECK(parseError("[member\n").Code == SettingsErrorCode::Syntax);
  CHECK(parseError("[nonsense]\n").Code == SettingsErrorCode::UnknownKey);
}
