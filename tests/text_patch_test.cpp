#include "cyclamenwind/base/text_patch.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cyclamenwind;

namespace {

constexpr size_t Limit = 1 << 20;

// Returns a text like a configuration with the given number of routes.
std::string makeConfiguration(int Routes, int Version) {
  std::string Text = R"({"version": )" + std::to_string(Version) + "[";
  for (int I = 0; I < Routes; ++I)
    Text += R"({"name": "route)" + std::to_string(I * 7919 % 10007) +
            R"(", "timeoutMs": )" + std::to_string(1000 + I % 13) + "},";
  return Text + "]}";
}

} // namespace

TEST_CASE("a patch turns the old text into the new one and is small") {
  std::string Old = makeConfiguration(2000, 7);
  std::string New = makeConfiguration(2001, 8);
  std::string Patch = makePatch(Old, New);
  CHECK(Patch.size() < 1000);
  CHECK(Old.size() > 50000);
  CHECK(applyPatch(Old, Patch, Limit) == New);
  CHECK(applyPatch("", makePatch("", New), Limit) == New);
  CHECK(applyPatch(Old, makePatch(Old, ""), Limit) == "");
}

TEST_CASE(
    "a patch for another base, a damaged patch and a patch with too large "
    "a text are rejected") {
  std::string Old = makeConfiguration(2000, 7);
  std::string New = makeConfiguration(2001, 8);
  std::string Patch = makePatch(Old, New);
  std::string Other = Old;
  Other[Other.size() / 2] ^= 1;
  CHECK_FALSE(applyPatch(Other, Patch, Limit));
  CHECK_FALSE(applyPatch("", Patch, Limit));
  CHECK_FALSE(applyPatch(Old, Patch, New.size() - 1));
  CHECK_FALSE(applyPatch(Old, "", Limit));
  std::mt19937 Rng(5);
  for (int Round = 0; Round < 2000; ++Round) {
    std::string Damaged = Patch;
    Damaged[Rng() % Damaged.size()] ^= static_cast<char>(1 + Rng() % 255);
    if (Rng() % 4 == 0)
      Damaged.resize(Rng() % Damaged.size());
    std::optional<std::string> Text = applyPatch(Old, Damaged, Limit);
    if (Text)
      CHECK(*Text == New); // The damaged bit has no effect on the text.
  }
}
