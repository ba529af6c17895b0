#include "cyclamenwind/document/diff.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cyclamenwind;

namespace {

Document example() {
  Document Example;
  Example.Services = {{"basket", "v1"}, {"quote", "v1"}};
  Example.Routes = {{"submit", "quote", "POST", "/quotes"},
                    {"lookup", "basket", "GET", "/baskets"}};
  return Example;
}

} // namespace

TEST_CASE("documents that differ only in their order have no differences") {
  Document A = example();
  Document B = example();
  std::reverse(B.Services.begin(), B.Services.end());
  std::reverse(B.Routes.begin(), B.Routes.end());
  CHECK(diffDocuments(A, B).empty());
  CHECK(diffDocuments({}, {}).empty());
}

TEST_CASE("a difference names the resource, the change and the fields") {
  Document A = example();
  Document B = example();
  B.Services[0].Name = "index";
  B.Routes[0].Method = "";
  B.Routes[0].Deadline = 2s;
  B.Rollouts.push_back({"m", "quote", "v2", {}, DeadlineRule::RollBack});
  std::vector<ResourceChange> Changes = diffDocuments(A, B);
  REQUIRE(Changes.size() == 4);
  CHECK(Changes[0].text() == "removed service basket");
  CHECK(Changes[1].text() == "added service index");
  CHECK(Changes[2].Change == ChangeKind::Changed);
  CHECK(Changes[2].Fields ==
        std::vector<FieldChange>{
            {"/deadline_ms", "1000", "2000"},
            {"/match", R"({"method":"POST","path_prefix":"/quotes"})",
             R"({"path_prefix":"/quotes"})"}});
  CHECK(Changes[3].text() == "added move m");
  CHECK(diffDocuments({}, A).size() == 4);
}

TEST_CASE("each single change of a document yields one difference") {
  for (size_t I = 0; I < 4; ++I) {
    Document B = example();
    if (I == 0)
      B.Services[1].Version = "v2";
    if (I == 1)
      B.Routes[1].Idempotent = true;
    if (I == 2)
      B.Routes[1].Urgency = Priority::Urgent;
    if (I == 3)
      B.Routes.pop_back();
    CHECK(diffDocuments(example(), B).size() == 1);
    CHECK(diffDocuments(B, example()).size() == 1);
  }
}
