#include "cyclamenwind/document/document.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;

namespace {

const char Good[] = R"({
  "services": [{"name": "quote", "version": "v1"}],
  "routes": [{"name": "submit", "service": "quote",
              "match": {"method": "POST", "path_prefix": "/quotes"},
              "deadline_ms": 500, "priority": "urgent"}]})";

bool hasError(const DocumentErrors &Errors, const std::string &Path) {
  for (const DocumentError &Error : Errors)
    if (Error.Path == Path)
      return true;
  return false;
}

} // namespace

TEST_CASE(
    "all members of a document are parsed, and its formatted text parses to "
    "the same document") {
  Result<Document, DocumentErrors> Parsed = parseDocument(Good);
  REQUIRE(Parsed);
  CHECK(Parsed.value().Services.at(0).Name == "quote");
  CHECK(Parsed.value().Routes.at(0).Deadline == 500ms);
  CHECK(Parsed.value().Routes.at(0).Urgency == Priority::Urgent);
  CHECK_FALSE(Parsed.value().Routes.at(0).Idempotent);
  Result<Document, DocumentErrors> Reparsed =
      parseDocument(formatDocument(Parsed.value()));
  REQUIRE(Reparsed);
  CHECK(Reparsed.value() == Parsed.value());
}

TEST_CASE("all errors of a document are reported at once, each with its path") {
  Result<Document, DocumentErrors> Parsed = parseDocument(R"({
    "services": [{"name": "a b", "version": "v1"}, {"name": "c"}],
    "routes": [{"name": "r", "service": "d", "match": {"path_prefix": "x"},
                "deadline_ms": 0, "colour": 1}],
    "extra": true})");
  REQUIRE_FALSE(Parsed);
  CHECK(hasError(Parsed.error(), "/services/0/name"));
  CHECK(hasError(Parsed.error(), "/services/1/version"));
  CHECK(hasError(Parsed.error(), "/routes/0/service"));
  CHECK(hasError(Parsed.error(), "/routes/0/match/path_prefix"));
  CHECK(hasError(Parsed.error(), "/routes/0/deadline_ms"));
  CHECK(hasError(Parsed.error(), "/routes/0/colour"));
  CHECK(hasError(Parsed.error(), "/extra"));
}

TEST_CASE("text that is not a JSON object, or too large, is an error") {
  CHECK_FALSE(parseDocument("{"));
  CHECK_FALSE(parseDocument("[]"));
  CHECK_FALSE(parseDocument(std::string(MaxDocumentBytes + 1, ' ')));
}
