#include "cyclamenwind/config/document_watch.h"
#include "cyclamenwind/operators/access.h"
#include "cyclamenwind/operators/audit_api.h"
#include "cyclamenwind/operators/explain.h"
#include "testing/fake_peers.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;
using nlohmann::json;

namespace {

constexpr char Token[] = "s3cret-token";

// A request that stores its response for the test.
class TestExchange final : public Exchange {
public:
  TestExchange(HttpRequest Sent, HttpResponse &Answer)
      : Sent(std::move(Sent)), Answer(Answer) {}
  const HttpRequest &request() const override { return Sent; }
  HttpRequest takeRequest() override { return std::move(Sent); }
  void reply(const HttpResponse &Response) override { Answer = Response; }
  void abandon() override {}
  void onPeerGone(std::function<void()>) override {}

private:
  HttpRequest Sent;
  HttpResponse &Answer;
};

// Applies the platform's document whenever it changes.
class DocumentWatchService final : public Service {
public:
  std::string_view name() const override { return "document_feed"; }
  void start(Kernel &TheKernel) override {
    auto &Store = TheKernel.find<ConfigStore>("config");
    Watch = std::make_unique<DocumentWatch>(
        TheKernel.find<PlatformClient>("platform"), TheKernel.scheduler(),
        TheKernel.random());
    Watch->onText([&Store](const std::string &Text) { Store.apply(Text); });
    Watch->start();
  }
  void stop() override { Watch.reset(); }

private:
  std::unique_ptr<DocumentWatch> Watch;
};

std::string document(int DeadlineMs) {
  return R"({"services": [{"name": "quote", "version": "v1"}],
             "routes": [{"name": "submit", "service": "quote",
                         "match": {"method": "POST", "path_prefix": "/quotes"},
                         "deadline_ms": )" +
         std::to_string(DeadlineMs) + "}]}";
}

// The services behind the operators' address of one daemon, on a fake platform
// and a fake network.
struct DaemonFixture {
  VirtualTime Time;
  Random Rng{7};
  FakePlatform Shared{Time, Rng};
  FakeNetwork Network{Time, Time, Rng};
  Kernel Services{Time, Time, Rng};
  FakePlatformClient *Client = nullptr;
  int Drains = 0;

  explicit DaemonFixture(const std::string &OperatorToken = Token) {
    Settings TheSettings;
    TheSettings.Member = {"midrand-a-quote", "midrand-a", "gauteng"};
    TheSettings.Addresses.Peers = {"127.0.0.1", 7100};
    TheSettings.Operators.Token = OperatorToken;
    auto Platform = std::make_unique<FakePlatformClient>(Shared);
    Client = Platform.get();
    Services.add(std::move(Platform));
    Services.add(
        std::make_unique<FakePeers>(Network, TheSettings.Addresses.Peers));
    Services.add(std::make_unique<Metrics>());
    Services.add(std::make_unique<AuditTrail>());
    Services.add(std::make_unique<ConfigStore>());
    Services.add(std::make_unique<DocumentWatchService>());
    Services.add(std::make_unique<Acceptance>());
    Services.add(std::make_unique<ServerRegistrations>(3s));
    Services.add(std::make_unique<Membership>(TheSettings, 1));
    Services.add(std::make_unique<AcceptedVersions>());
    Services.add(std::make_unique<RuntimeMetrics>());
    Services.add(std::make_unique<OperatorApi>(TheSettings));
    Services.add(std::make_unique<DocumentApi>("midrand-a"));
    Services.add(std::make_unique<AuditApi>());
    Services.start();
    api().onDrain([this] { ++Drains; });
    Time.advance(1s);
  }
  ~DaemonFixture() { Services.stop(); }

  OperatorApi &api() { return Services.find<OperatorApi>("operators"); }

  HttpResponse send(const std::string &Method, const std::string &Target,
                    const std::string &Body = "", HttpHeaders Headers = {}) {
    HttpResponse Answer;
    api().accept(std::make_shared<TestExchange>(
        HttpRequest{Method, Target, std::move(Headers), Body}, Answer));
    Time.advance(30s);
    return Answer;
  }

  HttpResponse write(const std::string &Target, const std::string &Body) {
    return send("POST", Target, Body,
                {{"Authorization", std::string("Bearer ") + Token}});
  }

  json audit(const std::string &Query = "") {
    return json::parse(send("GET", "/api/audit" + Query).Body);
  }
};

AccessDecision decide(const HttpHeaders &Headers,
                      const std::string &Secret = Token) {
  return checkWrite({"POST", "/api/document", Headers, ""}, Secret);
}

} // namespace

TEST_CASE("writes need the token and must not come from another site") {
  HttpHeader ValidToken = {"Authorization", std::string("Bearer ") + Token};
  HttpHeader Host = {"Host", "127.0.0.1:7200"};
  CHECK(decide({ValidToken}) == AccessDecision::Granted);
  CHECK(decide({}) == AccessDecision::NoToken);
  CHECK(decide({{"Authorization", Token}}) == AccessDecision::NoToken);
  CHECK(decide({{"Authorization", "Bearer s3cret-tokem"}}) ==
        AccessDecision::WrongToken);
  CHECK(decide({{"Authorization", "Bearer "}}) == AccessDecision::WrongToken);
  CHECK(decide({{"Authorization", "Bearer "}}, "") ==
        AccessDecision::WritesOff);
  CHECK(decide({ValidToken, Host, {"Origin", "http://127.0.0.1:7200"}}) ==
        AccessDecision::Granted);
  for (const char *Origin : {"http://evil.example", "http://127.0.0.1:7201",
                             "null", "http://127.0.0.1:7200.evil.example"})
    CHECK(decide({ValidToken, Host, {"Origin", Origin}}) ==
          AccessDecision::CrossSite);
  CHECK(decide({ValidToken, {"Sec-Fetch-Site", "cross-site"}}) ==
        AccessDecision::CrossSite);
  CHECK(decide({ValidToken, {"sec-fetch-site", "Same-Site"}}) ==
        AccessDecision::CrossSite);
  CHECK(decide({ValidToken, {"Sec-Fetch-Site", "same-origin"}}) ==
        AccessDecision::Granted);
  CHECK(decide({ValidToken, {"Content-Type", "Text/Plain; charset=utf-8"}}) ==
        AccessDecision::FormContent);
  CHECK(decide({ValidToken, {"Content-Type", "application/json"}}) ==
        AccessDecision::Granted);
}

TEST_CASE("all paths that write reject requests without the token and change "
          "nothing") {
  DaemonFixture Daemon;
  for (const char *Target : {"/api/document", "/api/drain"}) {
    CAPTURE(Target);
    HttpResponse Rejected = Daemon.send("POST", Target, document(500));
    CHECK(Rejected.Status == 403);
    CHECK(json::parse(Rejected.Body).at("error") == "no_token");
    CHECK(Daemon
              .send("POST", Target, document(500),
                    {{"Authorization", std::string("Bearer ") + Token},
                     {"Sec-Fetch-Site", "cross-site"}})
              .Status == 403);
  }
  CHECK(Daemon.Drains == 0);
  CHECK(Daemon.Shared.Store.list("config/").Objects.empty());
  CHECK(Daemon.send("PUT", "/announcements", "{}", {{"Origin", "http://x"}})
            .Status == 403);
  DaemonFixture WithoutToken("");
  CHECK(WithoutToken.write("/api/document", document(500)).Status == 403);
  CHECK(Daemon.write("/api/drain", "").Status == 200);
  CHECK(Daemon.Drains == 1);
}

TEST_CASE("no response contains the token") {
  DaemonFixture Daemon;
  Daemon.write("/api/document?author=anna", document(500));
  for (const char *Target : {"/status", "/metrics", "/api/document",
                             "/api/audit", "/api/explain", "/nowhere"})
    CHECK(Daemon.send("GET", Target).Body.find(Token) == std::string::npos);
}

TEST_CASE("metrics report the version, the members and the audit trail") {
  DaemonFixture Daemon;
  Daemon.write("/api/document?author=anna", document(500));
  std::string Text = Daemon.send("GET", "/metrics").Body;
  for (const char *Line :
       {"cyclamenwind_config_version 1", "cyclamenwind_audit_dropped 0",
        "cyclamenwind_audit_pending 0",
        "cyclamenwind_members{state=\"alive\"} 1"})
    CHECK(Text.find(Line) != std::string::npos);
}

TEST_CASE("an accepted document leaves one audit entry with its digest") {
  DaemonFixture Daemon;
  Daemon.Shared.LoseAnswers = 2;
  std::string Target = "/api/document?author=anna&operation=op-1";
  CHECK(Daemon.write(Target, document(500)).Status == 200);
  CHECK(Daemon.write(Target, document(500)).Status == 200);
  CHECK(Daemon.write("/api/document?author=ben&operation=op-2", document(600))
            .Status == 200);
  json Trail = Daemon.audit();
  CHECK(Trail.at("complete") == true);
  REQUIRE(Trail.at("entries").size() == 2);
  json Newest = Trail["entries"][0];
  CHECK(Newest.at("actor") == "ben");
  CHECK(Newest.at("from") == "1");
  CHECK(Newest.at("to") == "2");
  uint64_t Digest =
      digestOf(formatDocument(parseDocument(document(600)).value()));
  char Expected[32];
  std::snprintf(Expected, sizeof Expected, "digest=%016llx",
                static_cast<unsigned long long>(Digest));
  CHECK(Newest.at("detail") == Expected);
  CHECK(Daemon.audit("?action=other").at("entries").empty());
  CHECK(Daemon.audit("?limit=1").at("entries").size() == 1);
}

TEST_CASE("a conflicting document is rejected with the accepted one and the "
          "differences") {
  DaemonFixture Daemon;
  CHECK(
      Daemon.write("/api/document?author=anna&base=0", document(500)).Status ==
      200);
  HttpResponse Conflicting =
      Daemon.write("/api/document?author=ben&base=0", document(600));
  CHECK(Conflicting.Status == 409);
  json Body = json::parse(Conflicting.Body);
  CHECK(Body.at("present").at("author") == "anna");
  REQUIRE(Body.at("differences").size() == 1);
  CHECK(Body["differences"][0].at("fields")[0].at("field") == "/deadline_ms");
  json Entry = Daemon.audit().at("entries").at(0);
  CHECK(Entry.at("outcome") == "lost_race");
  CHECK(Entry.at("detail") == "version 1 by anna is in place");
}

TEST_CASE(
    "a missing audit entry of the document is restored by the next reader") {
  DaemonFixture Daemon;
  CHECK(Daemon.write("/api/document?author=anna", document(500)).Status == 200);
  // As if the accepting daemon had stopped before it wrote its entry.
  for (const PlatformObject &Object :
       Daemon.Shared.Store.list("audit/").Objects)
    REQUIRE(Daemon.Shared.Store.remove(Object.Key, Object.Version));
  CHECK(Daemon.audit().at("entries").size() == 1);
}

TEST_CASE("the audit response says when it is incomplete") {
  DaemonFixture Daemon;
  CHECK(Daemon.write("/api/document?author=anna", document(500)).Status == 200);
  Daemon.Time.advance(10s);
  Daemon.Client->CutOff = true;
  HttpResponse NotWritten =
      Daemon.write("/api/document?author=ben&operation=b", document(600));
  CHECK(NotWritten.Status == 503);
  json Trail = Daemon.audit();
  CHECK(Trail.at("complete") == false);
  CHECK(Trail.at("entries").at(0).at("pending") == true);
  CHECK(Trail.at("entries").at(0).at("outcome") == "not_written");
  Daemon.Client->CutOff = false;
  Daemon.Time.advance(1min);
  Trail = Daemon.audit();
  CHECK(Trail.at("complete") == true);
  CHECK(Trail.at("entries").size() == 2);
  CHECK_FALSE(Trail.at("entries").at(0).contains("pending"));
}

TEST_CASE("explain and diff use the active document") {
  DaemonFixture Daemon;
  CHECK(Daemon.send("GET", "/api/explain?method=GET&path=/x").Status == 404);
  Daemon.write("/api/document?author=anna", document(500));
  Daemon.send("PUT", "/announcements",
              R"({"address": "127.0.0.1:8000", "service": "quote",
                  "version": "v1"})");
  HttpResponse Explained =
      Daemon.send("GET", "/api/explain?method=POST&path=/quotes/7");
  json Answer = json::parse(Explained.Body);
  CHECK(Answer.at("route").at("name") == "submit");
  CHECK(Answer.at("version") == "v1");
  Answer = json::parse(
      Daemon.send("GET", "/api/explain?method=GET&path=/quotes").Body);
  CHECK(Answer.at("route").is_null());
  CHECK(Daemon.send("GET", "/api/explain?path=x").Status == 400);
  json Changes =
      json::parse(Daemon.send("POST", "/api/diff", document(700)).Body);
  CHECK(Changes.at("base") == 1);
  CHECK(Changes.at("differences").size() == 1);
  CHECK(Daemon.send("POST", "/api/diff", "{").Status == 400);
}

TEST_CASE("explain says for each endpoint whether and why it may be chosen") {
  Envelope Accepted;
  Accepted.Version = 4;
  Accepted.Body = parseDocument(document(500)).value();
  Snapshot Current(Accepted, "text");
  std::vector<Endpoint> Endpoints = {
      {"m1", {"127.0.0.1", 1}, "midrand-a", "v1", 10},
      {"m2", {"127.0.0.1", 2}, "midrand-b", "v1", 10},
      {"m3", {"127.0.0.1", 3}, "midrand-a", "v2", 10}};
  json Answer =
      explain(Current, Endpoints, {"POST", "/quotes", "v1", "midrand-a"});
  CHECK(Answer["candidates"][0]["why"] == "preferred: same failure domain");
  CHECK(Answer["candidates"][1]["usable"] == true);
  CHECK(Answer["candidates"][2]["usable"] == false);
  Answer = explain(Current, {}, {"POST", "/quotes", "v1", "midrand-a"});
  CHECK(Answer["why"].get<std::string>().find("no_server") !=
        std::string::npos);
}

// Guards against the end of the daemon by a query with bytes that are not
// UTF-8, or with an author that was cut within a character.
TEST_CASE("queries and records of peers may hold any bytes") {
  DaemonFixture Daemon;
  CHECK(Daemon.write("/api/document?author=%FF&operation=a", document(500))
            .Status == 400);
  std::string Long(99, 'a');
  CHECK(Daemon
            .write("/api/document?author=" + Long + "%C3%A9&operation=b",
                   document(500))
            .Status == 200);
  json Accepted = json::parse(Daemon.send("GET", "/api/document").Body);
  CHECK(Accepted.at("author") == Long);
  HttpResponse Explained =
      Daemon.send("GET", "/api/explain?method=POST&path=/quotes/%FF%FE");
  CHECK(Explained.Status == 200);
  CHECK_FALSE(json::parse(Explained.Body, nullptr, false).is_discarded());
  CHECK(Daemon.send("GET", "/api/audit?action=%FF").Status == 200);
}
