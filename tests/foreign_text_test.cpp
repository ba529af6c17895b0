// Text that other processes sent and that is written out again: in records on
// the platform, in HTTP messages, in JSON answers and in the log.

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/text.h"
#include "cyclamenwind/http/message_parser.h"
#include "cyclamenwind/operators/api.h"
#include "testing/mesh_world.h"

#include <catch2/catch.hpp>

#include <random>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

const std::string NotUtf8[] = {"i-\xff\xfe"
                               "7f3a",
                               "\x80", "i-\xc3", "\xed\xa0\x80", "\xc0\xaf"};

const char ReportText[] =
    R"({"service": "quote", "address": "10.0.0.1:8000", "zone": "a",
        "version": "v1", "capacity": 9, "state": "ready", "warmupLeftMs": 0,
        "sequence": 40, "born": 1000})";

// Sends one request of a backend server to a daemon; returns its status.
int sendReport(MeshWorld::Daemon &To, const std::string &Method,
               const std::string &Id, const std::string &Body) {
  auto Received = std::make_shared<FakeExchange>(
      HttpRequest{Method, "/-/instances/" + Id, {}, Body});
  platform::handleReport(*To.Registry, Received);
  return Received->Answer ? Received->Answer->Status : 0;
}

// The record of a server beside the daemon of 10.0.0.1.
wire::EndpointRecord soundRecord() {
  MeshEndpoint Endpoint;
  Endpoint.Id = "i-9";
  Endpoint.Service = "quote";
  Endpoint.Version = "v1";
  Endpoint.FailureDomain = "a";
  Endpoint.DaemonAddress = {"10.0.0.1", 7000};
  Endpoint.ServerAddress = {"10.0.0.1", 8009};
  Endpoint.Slots = 2;
  Endpoint.StartedAtMs = 1000;
  return toWire(Endpoint);
}

wire::ForwardRequest soundRequest() {
  wire::ForwardRequest Message;
  Message.id = 1;
  Message.instanceId = "i-1";
  Message.serviceName = "quote";
  Message.callerService = "quote";
  Message.attemptId = "attempt";
  Message.method = "GET";
  Message.target = "/read/1";
  Message.headers.resize(1);
  Message.headers[0].name = "Accept";
  Message.headers[0].value = "text/plain; q=\xc3\xa9\xff";
  Message.remainingUs = 500000;
  Message.objectiveUs = 500000;
  return Message;
}

} // namespace

// Guards against the end of the daemon by a liveness report or a deregistration
// whose id is not UTF-8: all running requests were cut.
TEST_CASE("a report or a deregistration whose id is not UTF-8 names no server, "
          "and the others hold") {
  MeshWorld World(2);
  auto Running = World.request("/read/1");
  for (const std::string &Id : NotUtf8) {
    CHECK(sendReport(World.Daemons[0], "PUT", Id, ReportText) == 400);
    CHECK(sendReport(World.Daemons[0], "DELETE", Id, R"({"born": 1000})") ==
          400);
    CHECK(sendReport(World.Daemons[0], "PATCH", Id, ReportText) == 400);
  }
  std::mt19937 Rng(33);
  for (int I = 0; I < 500; ++I) {
    std::string Id;
    for (size_t Length = 1 + Rng() % 6; Id.size() < Length;)
      Id += static_cast<char>(Rng());
    int Status = sendReport(World.Daemons[0], I % 2 == 0 ? "DELETE" : "PUT", Id,
                            "{\"born\": 5}");
    bool Named = I % 2 == 0 && isUtf8(Id) && Id.find('?') == std::string::npos;
    if (Named || Id.find('?') == std::string::npos)
      CHECK(Status == (Named ? 200 : 400));
  }
  World.Time.advance(100ms);
  REQUIRE(Running->Answer);
  CHECK(Running->Answer->Status == 200);
  CHECK(World.Daemons[0].State->directory().all().size() == 2);
  CHECK(World.Published.size() == 2);
}

TEST_CASE("reports whose fields are not UTF-8 or hide bytes name no server") {
  MeshWorld World(1);
  for (const char *Field :
       {"quote", "\"a\"", "v1", "ready", "10.0.0.1", "service"}) {
    std::string Body = ReportText;
    Body.insert(Body.find(Field) + 1, "\xff");
    CHECK(sendReport(World.Daemons[0], "PUT", "i-9", Body) == 400);
  }
  std::string Hidden = ReportText;
  Hidden.replace(Hidden.find("10.0.0.1:"), 9, "10.0.0.1\\u0000x:");
  CHECK(sendReport(World.Daemons[0], "PUT", "i-9", Hidden) == 400);
  CHECK_FALSE(parseAddress(std::string_view("10.0.0.1\0\xff:80", 13)));
}

// Guards against the same end by way of a peer: its records are not JSON, and a
// deregistration made the daemon write one of them to the platform.
TEST_CASE("records of peers with a text that is not UTF-8 name no server") {
  std::string wire::EndpointRecord::*Fields[] = {
      &wire::EndpointRecord::id,
      &wire::EndpointRecord::serviceName,
      &wire::EndpointRecord::serverVersion,
      &wire::EndpointRecord::failureDomain,
      &wire::EndpointRecord::gateAddress,
      &wire::EndpointRecord::serverAddress,
      &wire::EndpointRecord::state};
  REQUIRE(fromWire(soundRecord()));
  MeshWorld World(2);
  wire::EndpointAnnounce Message;
  for (auto Field : Fields)
    for (const std::string &Text : NotUtf8) {
      wire::EndpointRecord Record = soundRecord();
      Record.*Field += Text;
      CHECK_FALSE(fromWire(Record));
      Message.endpoints.push_back(Record);
    }
  Message.endpoints.push_back(soundRecord());
  World.Network.inject({"10.0.0.2", 7000}, {"10.0.0.1", 7000},
                       FrameType::EndpointAnnounce, encodeMessage(Message));
  World.Time.advance(50ms);
  std::vector<std::string> Ids;
  for (const auto &[Id, Record] : World.Daemons[0].State->directory().all())
    Ids.push_back(Id);
  CHECK(Ids == std::vector<std::string>{"i-1", "i-2", "i-9"});
  for (const std::string &Id : Ids)
    CHECK(sendReport(World.Daemons[0], "DELETE", Id, "{}") == 200);
}

// Guards against requests smuggled to a server, or headers and responses
// smuggled to a caller, by a peer's message.
TEST_CASE("a peer's request or reply with line breaks in its HTTP text is "
          "dropped") {
  MeshWorld World(2);
  const Address From = {"10.0.0.2", 7000};
  const Address To = {"10.0.0.1", 7000};
  auto Send = [&](const wire::ForwardRequest &Message) {
    World.Network.inject(From, To, FrameType::ForwardRequest,
                         encodeMessage(Message));
    World.Time.advance(50ms);
  };
  Send(soundRequest());
  CHECK(World.Servers.ReceivedRequests.size() == 1);
  const std::string Smuggled = " HTTP/1.1\r\n\r\nGET /read/2";
  std::string wire::ForwardRequest::*Fields[] = {
      &wire::ForwardRequest::method, &wire::ForwardRequest::target,
      &wire::ForwardRequest::attemptId, &wire::ForwardRequest::callerService};
  for (auto Field : Fields) {
    wire::ForwardRequest Message = soundRequest();
    Message.*Field += Smuggled;
    Send(Message);
  }
  for (auto Field : {&wire::Header::name, &wire::Header::value}) {
    wire::ForwardRequest Message = soundRequest();
    Message.headers[0].*Field += "\r\nX: 1";
    Send(Message);
  }
  CHECK(World.Servers.ReceivedRequests.size() == 1);

  // The only server is beside the other daemon, which answers twice.
  World.Daemons[0].Registry->leave("i-1", 0, [] {});
  World.Servers.ByHost["10.0.0.2"].Work = 300ms;
  World.Network.OnStream = [&](const Address &Sender, const Address &,
                               FrameType Type, const std::string &Payload) {
    if (Type != FrameType::ForwardRequest || !(Sender == To))
      return;
    auto Forwarded = decodeMessage<wire::ForwardRequest>(Payload);
    wire::ForwardReply Reply;
    Reply.id = Forwarded.value().id;
    Reply.outcome = wire::ForwardOutcome::ANSWERED;
    Reply.status = 200;
    Reply.headers.resize(1);
    Reply.headers[0].name = "X";
    Reply.headers[0].value = "1\r\n\r\nHTTP/1.1 200 OK";
    World.Network.inject(From, To, FrameType::ForwardReply,
                         encodeMessage(Reply));
  };
  auto Received = World.request("/read/1");
  World.Time.advance(600ms);
  REQUIRE(Received->Answer);
  CHECK(Received->Answer->Body == "body of 10.0.0.2");
}

TEST_CASE("a request whose target has control characters is malformed") {
  for (const char *Target : {"/a\tb", "/a\fb", "/a\x01", "/a\x7f"}) {
    MessageParser Parser(MessageKind::Request, {});
    Parser.feed(std::string("GET ") + Target + " HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(Parser.error() == ParseError::Malformed);
  }
  MessageParser Parser(MessageKind::Request, {});
  Parser.feed("GET /caf\xc3\xa9/\xff HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(Parser.ready());
}

TEST_CASE("a log line is one line of text, whatever its values are") {
  std::string Line = formatEvent(
      "report_malformed",
      {{"server", std::string("i-\xff\x1b[2J\0", 8)}, {"kind", "caf\xc3\xa9"}});
  CHECK(Line == "event=report_malformed server=\"i-\\xff\\x1b[2J\\x00\" "
                "kind=caf\xc3\xa9");
  CHECK(formatEvent("e", {{"a", "x\r\ny"}, {"b", "\"\\"}}) ==
        "event=e a=\"x  y\" b=\"\\\"\\\\\"");
  std::mt19937 Rng(34);
  for (int I = 0; I < 2000; ++I) {
    std::string Value;
    for (size_t Length = Rng() % 8; Value.size() < Length;)
      Value += static_cast<char>(Rng());
    std::string Text = formatEvent("e", {{"a", Value}});
    CHECK(isUtf8(Text));
    CHECK(isHeaderValue(Text));
  }
}

TEST_CASE("text is cut between characters") {
  CHECK(utf8Prefix("abc", 3) == "abc");
  CHECK(utf8Prefix("ab\xc3\xa9", 3) == "ab");
  CHECK(utf8Prefix("\xf0\x9f\x98\x80", 3).empty());
  CHECK(utf8Prefix("\xc3\xa9\xc3\xa9", 2) == "\xc3\xa9");
}
