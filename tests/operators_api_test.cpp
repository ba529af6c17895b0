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

// A request whose response the test reads.
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

// Puts the platform's document in force.
class DocumentFeed final : public Service {
public:
  std::string_view name() const override { return "document_feed"; }
  void start(Kernel &TheKernel) override {
    auto &Store = TheKernel.find<ConfigStore>("config");
    Feed = std::make_unique<DocumentWatch>(
        TheKernel.find<PlatformClient>("platform"), TheKernel.scheduler(),
        TheKernel.random());
    Feed->onText([&Store](const std::string &Text) { Store.apply(Text); });
    Feed->start();
  }
  void stop() override { Feed.reset(); }

private:
  std::unique_ptr<DocumentWatch> Feed;
};

std::string document(int DeadlineMs) {
  return R"({"services": [{"name": "quote", "version": "v1"}],
             "routes": [{"name": "submit", "service": "quote",
                         "match": {"method": "POST", "path_prefix": "/quotes"},
                         "deadline_ms": )" +
         std::to_string(DeadlineMs) + "}]}";
}

// One daemon's operators' address on fakes.
struct OneDaemon {
  VirtualTime Time;
  Random Rng{7};
  FakePlatform Shared{Time, Rng};
  FakeNetwork Network{Time, Time, Rng};
  Kernel Services{Time, Time, Rng};
  FakePlatformClient *Client = nullptr;
  int Drains = 0;

  explicit OneDaemon(const std::string &TheToken = Token) {
    Settings TheSettings;
    TheSettings.Member = {"midrand-a-quote", "midrand-a", "gauteng"};
    TheSettings.Addresses.Peers = {"127.0.0.1", 7100};
    TheSettings.Operators.Token = TheToken;
    auto Platform = std::make_unique<FakePlatformClient>(Shared);
    Client = Platform.get();
    Services.add(std::move(Platform));
    Services.add(
        std::make_unique<FakePeers>(Network, TheSettings.Addresses.Peers));
    Services.add(std::make_unique<Metrics>());
    Services.add(std::make_unique<AuditTrail>());
    Services.add(std::make_unique<ConfigStore>());
    Services.add(std::make_unique<DocumentFeed>());
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
  ~OneDaemon() { Services.stop(); }

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
  HttpHeader Good = {"Authorization", std::string("Bearer ") + Token};
  HttpHeader Host = {"Host", "127.0.0.1:7200"};
  CHECK(decide({Good}) == AccessDecision::Granted);
  CHECK(decide({}) == AccessDecision::NoToken);
  CHECK(decide({{"Authorization", Token}}) == AccessDecision::NoToken);
  CHECK(decide({{"Authorization", "Bearer s3cret-tokem"}}) ==
        AccessDecision::WrongToken);
  CHECK(decide({{"Authorization", "Bearer "}}) == AccessDecision::WrongToken);
  CHECK(decide({{"Authorization", "Bearer "}}, "") ==
        AccessDecision::WritesOff);
  CHECK(decide({Good, Host, {"Origin", "http://127.0.0.1:7200"}}) ==
        AccessDecision::Granted);
  for (const char *Origin : {"http://evil.example", "http://127.0.0.1:7201",
                             "null", "http://127.0.0.1:7200.evil.example"})
    CHECK(decide({Good, Host, {"Origin", Origin}}) ==
          AccessDecision::CrossSite);
  CHECK(decide({Good, {"Sec-Fetch-Site", "cross-site"}}) ==
        AccessDecision::CrossSite);
  CHECK(decide({Good, {"sec-fetch-site", "Same-Site"}}) ==
        AccessDecision::CrossSite);
  CHECK(decide({Good, {"Sec-Fetch-Site", "same-origin"}}) ==
        AccessDecision::Granted);
  CHECK(decide({Good, {"Content-Type", "Text/Plain; charset=utf-8"}}) ==
        AccessDecision::FormContent);
  CHECK(decide({Good, {"Content-Type", "application/json"}}) ==
        AccessDecision::Granted);
}

TEST_CASE("every writing path refuses without the token and changes nothing") {
  OneDaemon Daemon;
  for (const char *Target : {"/api/document", "/api/drain"}) {
    CAPTURE(Target);
    HttpResponse Refused = Daemon.send("POST", Target, document(500));
    CHECK(Refused.Status == 403);
    CHECK(json::parse(Refused.Body).at("error") == "no_token");
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
  OneDaemon Closed("");
  CHECK(Closed.write("/api/document", document(500)).Status == 403);
  CHECK(Daemon.write("/api/drain", "").Status == 200);
  CHECK(Daemon.Drains == 1);
}

TEST_CASE("no answer contains the token") {
  OneDaemon Daemon;
  Daemon.write("/api/document?author=anna", document(500));
  for (const char *Target : {"/status", "/metrics", "/api/document",
                             "/api/audit", "/api/explain", "/nowhere"})
    CHECK(Daemon.send("GET", Target).Body.find(Token) == std::string::npos);
}

TEST_CASE("metrics tell the version, the members and the audit trail") {
  OneDaemon Daemon;
  Daemon.write("/api/document?author=anna", document(500));
  std::string Text = Daemon.send("GET", "/metrics").Body;
  for (const char *Line :
       {"cyclamenwind_config_version 1", "cyclamenwind_audit_dropped 0",
        "cyclamenwind_audit_pending 0",
        "cyclamenwind_members{state=\"alive\"} 1"})
    CHECK(Text.find(Line) != std::string::npos);
}

TEST_CASE("an accepted document leaves one audit entry with its digest") {
  OneDaemon Daemon;
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

TEST_CASE("a lost race tells who won and what differs") {
  OneDaemon Daemon;
  CHECK(
      Daemon.write("/api/document?author=anna&base=0", document(500)).Status ==
      200);
  HttpResponse Lost =
      Daemon.write("/api/document?author=ben&base=0", document(600));
  CHECK(Lost.Status == 409);
  json Body = json::parse(Lost.Body);
  CHECK(Body.at("present").at("author") == "anna");
  REQUIRE(Body.at("differences").size() == 1);
  CHECK(Body["differences"][0].at("fields")[0].at("field") == "/deadline_ms");
  json Entry = Daemon.audit().at("entries").at(0);
  CHECK(Entry.at("outcome") == "lost_race");
  CHECK(Entry.at("detail") == "version 1 by anna is in place");
}

TEST_CASE("the entry of a document is made up for by a later reader") {
  OneDaemon Daemon;
  CHECK(Daemon.write("/api/document?author=anna", document(500)).Status == 200);
  // The accepting daemon ended before it wrote its entry.
  for (const PlatformObject &Each : Daemon.Shared.Store.list("audit/").Objects)
    REQUIRE(Daemon.Shared.Store.remove(Each.Key, Each.Version));
  CHECK(Daemon.audit().at("entries").size() == 1);
}

TEST_CASE("the trail says when it is not complete") {
  OneDaemon Daemon;
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

TEST_CASE("explain and diff answer from what is in force") {
  OneDaemon Daemon;
  CHECK(Daemon.send("GET", "/api/explain?method=GET&path=/x").Status == 404);
  Daemon.write("/api/document?author=anna", document(500));
  Daemon.send("PUT", "/announcements",
              R"({"address": "127.0.0.1:8000", "service": "quote",
                  "version": "v1"})");
  HttpResponse Known =
      Daemon.send("GET", "/api/explain?method=POST&path=/quotes/7");
  json Answer = json::parse(Known.Body);
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

TEST_CASE("explain says why each endpoint may be chosen") {
  Envelope Wrapped;
  Wrapped.Version = 4;
  Wrapped.Body = parseDocument(document(500)).value();
  Snapshot Current(Wrapped, "text");
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
