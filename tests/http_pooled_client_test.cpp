#include "cyclamenwind/http/pooled_client.h"
#include "testing/raw_tcp.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::literals;
using namespace cyclamenwind::testing;

namespace {

using Outcome = Result<HttpResponse, HttpClientError>;

// A client and a server that answers each request with the next element of
// Responses; a trailing "<close>" makes the server close the connection.
class Fixture {
public:
  static constexpr size_t MaxBody = 1 << 20;
  static constexpr size_t MaxBuffered = 4 << 20;

  explicit Fixture(uint16_t Port) : Listen(loopbackAddress(Port)) {
    PooledClientOptions Options;
    Options.Matches = [](const HttpRequest &Request,
                         const HttpResponse &Response, bool Reused) {
      const std::string *Id = findHeader(Response.Headers, "Id");
      if (Id == nullptr)
        return !Reused;
      return *Id == *findHeader(Request.Headers, "Id");
    };
    Options.Parser.MaxBodyBytes = MaxBody;
    Options.MaxBufferedBytes = MaxBuffered;
    Client = std::make_unique<PooledClient>(TheLoop, Options);
    Server = std::make_unique<RawListener>(
        TheLoop, Listen, [this](RawStream &Stream) { serve(Stream); });
  }

  void serve(RawStream &Stream) {
    while (Stream.Received.find("\r\n\r\n") != std::string::npos &&
           NextResponse < Responses.size()) {
      Stream.Received.erase(0, Stream.Received.find("\r\n\r\n") + 4);
      std::string Response = Responses[NextResponse++];
      bool Close = Response.ends_with("<close>");
      if (Close)
        Response.resize(Response.size() - 7);
      Stream.write(Response);
      if (Close)
        TheLoop.defer([&Stream] { Stream.close(); });
    }
  }

  Outcome request(const std::string &Id, Duration Timeout = 2s) {
    std::optional<Outcome> Ended;
    auto Call = Client->send(Listen, {"GET", "/", {{"Id", Id}}, ""}, Timeout,
                             [&](Outcome Final) { Ended = Final; });
    REQUIRE(runUntil(TheLoop, [&] { return Ended.has_value(); }));
    return *Ended;
  }

  Loop TheLoop;
  Address Listen;
  std::vector<std::string> Responses;
  size_t NextResponse = 0;
  std::unique_ptr<PooledClient> Client;
  std::unique_ptr<RawListener> Server;
};

std::string response(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nId: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace

TEST_CASE("connections are reused") {
  Fixture Setup(18201);
  Setup.Responses = {response("1", "a"), response("2", "b")};
  CHECK(Setup.request("1").value().Body == "a");
  CHECK(Setup.request("2").value().Body == "b");
  CHECK(Setup.Client->opened() == 1);
}

TEST_CASE("a late response to an earlier request is skipped") {
  Fixture Setup(18202);
  Setup.Responses = {response("0", "stale") + response("1", "mine")};
  CHECK(Setup.request("1").value().Body == "mine");
}

TEST_CASE(
    "a connection with surplus bytes is closed, and the bytes are discarded") {
  Fixture Setup(18203);
  Setup.Responses = {response("1", "a") + response("1", "surplus"),
                     response("2", "b")};
  CHECK(Setup.request("1").value().Body == "a");
  CHECK(Setup.request("2").value().Body == "b");
  CHECK(Setup.Client->opened() == 2);
}

TEST_CASE("a truncated response is an error") {
  Fixture Setup(18204);
  Setup.Responses = {
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf<close>"};
  Outcome Ended = Setup.request("1");
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::ConnectionLost);
  CHECK(Ended.error().Sent);
}

TEST_CASE("a response without a length is complete when the server closes") {
  Fixture Setup(18205);
  Setup.Responses = {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it<close>"};
  CHECK(Setup.request("1").value().Body == "all of it");
}

// Guards against a 200 with an empty or short body that looks whole.
TEST_CASE("a response that ends in its head or its body is an error, wherever "
          "the server stops") {
  std::string Whole = GENERATE(
      response("1", "body"),
      std::string("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked"
                  "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + response("1", "body"),
      // Complete when the server closes, so only its head is cut.
      std::string("HTTP/1.1 200 OK\r\nId: 1\r\nOther: x\r\n\r\n"));
  Fixture Setup(18212);
  for (size_t Length = 0; Length < Whole.size(); ++Length) {
    INFO("cut after " << Length << " bytes");
    Setup.Responses = {Whole.substr(0, Length) + "<close>"};
    Setup.NextResponse = 0;
    CHECK_FALSE(Setup.request("1"));
  }
}

TEST_CASE("interim responses are skipped; garbage is an error") {
  Fixture Setup(18206);
  Setup.Responses = {"HTTP/1.1 103 Early Hints\r\n\r\n" + response("1", "a"),
                     "no answer at all\r\n\r\n"};
  CHECK(Setup.request("1").value().Body == "a");
  Outcome Ended = Setup.request("2");
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::BadResponse);
}

TEST_CASE("a failed connect reports that nothing was sent") {
  Fixture Setup(18207);
  Setup.Server.reset();
  Outcome Ended = Setup.request("1");
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::ConnectFailed);
  CHECK_FALSE(Ended.error().Sent);
}

TEST_CASE("a request that timed out counts as sent; its connection is not "
          "reused") {
  Fixture Setup(18208);
  Outcome Ended = Setup.request("1", 100ms);
  REQUIRE_FALSE(Ended);
  CHECK(Ended.error().Code == HttpClientErrorCode::TimedOut);
  CHECK(Ended.error().Sent);
  Setup.Responses = {response("2", "b")};
  CHECK(Setup.request("2").value().Body == "b");
  CHECK(Setup.Client->opened() == 2);
}

// Guards against a request lost on each of several connections that a middlebox
// forgot while they were idle.
TEST_CASE(
    "a request times out on an idle connection: the others that were idle "
    "are not used after it") {
  Fixture Setup(18213);
  const std::string Plain = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  Setup.Responses = {Plain, Plain};
  std::vector<std::unique_ptr<HttpCall>> Calls;
  int Ended = 0;
  for (const char *Id : {"1", "2"})
    Calls.push_back(Setup.Client->send(Setup.Listen,
                                       {"GET", "/", {{"Id", Id}}, ""}, 2s,
                                       [&Ended](Outcome) { ++Ended; }));
  REQUIRE(runUntil(Setup.TheLoop, [&] { return Ended == 2; }));
  REQUIRE(Setup.Client->opened() == 2);
  Outcome Lost = Setup.request("3", 100ms); // The server does not answer it.
  REQUIRE_FALSE(Lost);
  Setup.Responses.push_back(response("4", "d"));
  CHECK(Setup.request("4").value().Body == "d");
  CHECK(Setup.Client->opened() == 3);
}

TEST_CASE("a second copy of a response, late, is not the response to the next "
          "request, wherever it is split") {
  std::string Copy = GENERATE(response("1", "copy"),
                              std::string("HTTP/1.1 200 OK\r\n"
                                          "Content-Length: 4\r\n\r\ncopy"),
                              response("7", "copy"));
  std::string Mine = response("2", "mine");
  for (size_t Split = 0; Split <= Copy.size(); Split += 3) {
    Fixture Setup(18209);
    Setup.Responses = {response("1", "a")};
    REQUIRE(Setup.request("1").value().Body == "a");
    std::optional<Outcome> Ended;
    auto Call =
        Setup.Client->send(Setup.Listen, {"GET", "/", {{"Id", "2"}}, ""}, 2s,
                           [&](Outcome Final) { Ended = Final; });
    RawStream &Server = *Setup.Server->Streams[0];
    REQUIRE(runUntil(Setup.TheLoop, [&] { return !Server.Received.empty(); }));
    CHECK(Setup.Client->opened() == 1);
    Server.write(Copy.substr(0, Split));
    runFor(Setup.TheLoop, 2ms);
    Server.write(Copy.substr(Split) + Mine);
    REQUIRE(runUntil(Setup.TheLoop, [&] { return Ended.has_value(); }));
    CHECK(Ended->value().Body == "mine");
    // Another copy may follow: the connection is not used again.
    Setup.Responses = {"", response("3", "c")};
    Setup.NextResponse = 1;
    CHECK(Setup.request("3").value().Body == "c");
    CHECK(Setup.Client->opened() == 2);
  }
}

TEST_CASE("bytes without end, in a head or a body: the request fails, others "
          "go on") {
  // What the server sends first, and then again and again.
  auto [First, Again] = GENERATE(table<std::string, std::string>({
      {"", "x"},
      {"HTTP/1.1 200 ", "x"},
      {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"HTTP/1.1 200 OK\r\nA: ", "x"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "x"},
      {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
       "1\r\nx\r\n"},
      {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
      {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
      {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
       "0\r\n",
       "A: b\r\n"},
      {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 99999999999\r\n\r\n", "x"},
      {"", "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 1\r\n\r\nx"},
  }));
  INFO(First << "..." << Again);
  Fixture Setup(18210);
  std::string Part;
  while (Part.size() < 16 * 1024)
    Part += Again;
  std::optional<Outcome> Ended;
  auto Call = Setup.Client->send(Setup.Listen, {"GET", "/", {{"Id", "1"}}, ""},
                                 500ms, [&](Outcome Final) { Ended = Final; });
  REQUIRE(runUntil(Setup.TheLoop, [&] {
    return !Setup.Server->Streams.empty() &&
           !Setup.Server->Streams[0]->Received.empty();
  }));
  RawStream &Server = *Setup.Server->Streams[0];
  Server.write(First);
  TimePoint Start = Setup.TheLoop.now();
  size_t Sent = 0;
  REQUIRE(runUntil(
      Setup.TheLoop,
      [&] {
        if (!Server.Ended && Sent < 8 * Fixture::MaxBody) {
          Server.write(Part);
          Sent += Part.size();
        }
        return Ended.has_value() && Server.Ended;
      },
      5s));
  CHECK_FALSE(*Ended);
  CHECK(Setup.TheLoop.now() - Start < 2s);
  Setup.Responses = {response("2", "b")};
  Setup.NextResponse = 0;
  CHECK(Setup.request("2").value().Body == "b");
}

// Guards against requests that wait until their deadline for a response which
// cannot come any more, while its connection is read on and on.
TEST_CASE("a response without end fails when it exceeds a limit, not at the "
          "deadline") {
  struct EndlessResponse {
    std::string First; // What the server sends first,
    std::string Again; // and then again and again.
    bool IsBody = false;
  };
  const std::string Head = "HTTP/1.1 200 OK\r\nId: 1\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Other = "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: ";
  auto Endless = GENERATE_COPY(values<EndlessResponse>({
      {"", "\r\n"},
      {"HTTP/1.1 100 Continue\r\n\r\n", "\r\n"},
      {"", "x"},
      {"HTTP/1.1 200 ", "x"},
      {"HTTP/1.1 200 OK\r\n", "x"},
      {"HTTP/1.1 200 OK\r\nA: ", "x"},
      {"HTTP/1.1 200 OK\r\nA:", " "},
      {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
      {"HTTP/1.1 200 OK\r\nA: b\r\n", " \r\n"},
      {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
      {"", Other + "1\r\n\r\nx"},
      {"", Other + "60000\r\n\r\n" + std::string(60000, 'x')},
      {Head + "Content-Length: 99999999999\r\n\r\n", "x"},
      {Chunked, "1\r\nx\r\n", true},
      {Chunked, "4000\r\n" + std::string(0x4000, 'x') + "\r\n", true},
      {Chunked + "ffffffff\r\n", "x"},
      {Chunked, "0"},
      {Chunked + "1", " "},
      {Chunked + "1;", "x"},
      {Chunked, "1;" + std::string(500, 'e') + "\r\nx\r\n"},
      {Chunked, "0000000000000000000000000000000001\r\nx\r\n"},
      {Head + "\r\n", "x", true},
      {Chunked + "0\r\n", "A: b\r\n"},
      {Chunked + "0\r\nA: ", "x"},
      {Chunked + "0\r\nA:", " "},
  }));
  bool OnKeptConnection = GENERATE(false, true);
  INFO(Endless.First.substr(0, 80) << "..." << Endless.Again.substr(0, 80));
  Fixture Setup(18212);
  if (OnKeptConnection) {
    Setup.Responses = {response("0", "a")};
    REQUIRE(Setup.request("0"));
  }
  Setup.Server->Streams.resize(OnKeptConnection ? 1 : 0);
  std::string Part;
  while (Part.size() < 16 * 1024)
    Part += Endless.Again;
  std::optional<Outcome> Ended;
  auto Call = Setup.Client->send(Setup.Listen, {"GET", "/", {{"Id", "1"}}, ""},
                                 600s, [&](Outcome Final) { Ended = Final; });
  REQUIRE(runUntil(Setup.TheLoop, [&] {
    return !Setup.Server->Streams.empty() &&
           !Setup.Server->Streams[0]->Received.empty();
  }));
  RawStream &Server = *Setup.Server->Streams[0];
  Server.write(Endless.First);
  size_t Sent = 0;
  // What is in the kernel, and in the server's buffer, when the call ends.
  constexpr size_t Unread = 2 << 20;
  size_t Most = (Endless.IsBody ? 8 * Fixture::MaxBody : 0) + Unread;
  REQUIRE(runUntil(Setup.TheLoop, [&] {
    if (!Server.Ended && !Ended && Sent < 2 * Most) {
      Server.write(Part);
      Sent += Part.size();
    }
    return Ended.has_value() && Server.Ended;
  }));
  CHECK_FALSE(*Ended);
  CHECK(Sent <= Most);
  Setup.Responses = {response("2", "b")};
  Setup.NextResponse = 0;
  CHECK(Setup.request("2").value().Body == "b");
}

TEST_CASE("bytes without end behind a complete response close its connection") {
  std::string Again =
      GENERATE("x", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
               "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 1\r\n\r\nx");
  bool InOneSegment = GENERATE(false, true);
  Fixture Setup(18213);
  std::string Part;
  while (Part.size() < 16 * 1024)
    Part += Again;
  Setup.Responses = {response("1", "a") + (InOneSegment ? Part : "")};
  CHECK(Setup.request("1").value().Body == "a");
  RawStream &Server = *Setup.Server->Streams[0];
  REQUIRE(runUntil(Setup.TheLoop, [&] {
    if (!Server.Ended)
      Server.write(Part);
    return Server.Ended;
  }));
  Setup.Responses = {response("2", "b")};
  Setup.NextResponse = 0;
  CHECK(Setup.request("2").value().Body == "b");
}

TEST_CASE("legal but unusual responses are within the limits") {
  std::string Chunk = "000000000000000a;name=value\r\n0123456789\r\n";
  std::string Body;
  for (int I = 0; I < 500; ++I)
    Body += Chunk;
  std::string Interim;
  for (int I = 0; I < 50; ++I)
    Interim += "HTTP/1.1 102 Processing\r\n\r\n";
  std::string Late;
  for (int I = 0; I < 8; ++I)
    Late += response("0", "late");
  Fixture Setup(18214);
  Setup.Responses = {"\r\n\r\n" + Interim + Late +
                     "HTTP/1.1 200 OK\r\nId: 1\r\nA: b\r\n c\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n" +
                     Body + "0\r\nTrailer: a\r\n\r\n"};
  CHECK(Setup.request("1").value().Body.size() == 5000);
}

// Guards against responses without end that take all memory, each too little to
// exceed its limit, and keep it until their deadlines.
TEST_CASE("responses that block each other's memory make room for others") {
  constexpr size_t Blocking = 6;
  const std::string Part(4000, 'x');
  auto [Head, Again] = GENERATE_COPY(table<std::string, std::string>({
      {"HTTP/1.1 200 OK\r\n\r\n", Part},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "fa0\r\n" + Part + "\r\n"},
  }));
  MemoryBudget Budget(400000);
  Loop TheLoop;
  Address Listen = loopbackAddress(18262);
  std::vector<RawStream *> Endless;
  RawListener Server(TheLoop, Listen, [&, Head = Head](RawStream &Stream) {
    if (Stream.Received.find("\r\n\r\n") == std::string::npos)
      return;
    bool IsOrdinary = Stream.Received.starts_with("GET /ordinary");
    Stream.Received.clear();
    Stream.write(IsOrdinary ? response("1", std::string(60000, 'x')) : Head);
    if (!IsOrdinary)
      Endless.push_back(&Stream);
  });
  PooledClientOptions Options;
  Options.Memory = &Budget;
  Options.Parser.MaxBodyBytes = 200000;
  PooledClient Client(TheLoop, Options);
  std::vector<std::unique_ptr<HttpCall>> Calls;
  size_t Failed = 0;
  for (size_t I = 0; I < Blocking; ++I)
    Calls.push_back(Client.send(Listen, {"GET", "/", {}, ""}, 600s,
                                [&](Outcome Final) { Failed += !Final; }));
  std::map<RawStream *, size_t> Sent;
  auto SendOn = [&, Again = Again] {
    for (RawStream *Stream : Endless)
      if (!Stream->Ended && Sent[Stream] < 2 * Options.Parser.MaxBodyBytes) {
        Stream->write(Again);
        Sent[Stream] += Again.size();
      }
  };
  REQUIRE(runUntil(TheLoop, [&] {
    SendOn();
    return !Budget.hasRoom(MemoryKind::Responses, 60000);
  }));
  std::optional<Outcome> Ended;
  auto Ordinary = Client.send(Listen, {"GET", "/ordinary", {}, ""}, 600s,
                              [&](Outcome Final) { Ended = Final; });
  REQUIRE(runUntil(TheLoop, [&] {
    SendOn();
    return Ended.has_value();
  }));
  CHECK(Ended->value().Body.size() == 60000);
  // In the end, all of them fail.
  CHECK(runUntil(TheLoop, [&] {
    SendOn();
    return Failed == Blocking;
  }));
  CHECK(Budget.used() == 0);
}

TEST_CASE("many responses without end together do not take more memory than "
          "allowed, and small responses pass") {
  Fixture Setup(18211);
  constexpr size_t Endless = 12;
  std::vector<std::optional<Outcome>> Ended(Endless);
  std::vector<std::unique_ptr<HttpCall>> Calls;
  for (size_t I = 0; I < Endless; ++I)
    Calls.push_back(
        Setup.Client->send(Setup.Listen, {"GET", "/", {{"Id", "1"}}, ""}, 5s,
                           [&Ended, I](Outcome Final) { Ended[I] = Final; }));
  REQUIRE(runUntil(Setup.TheLoop, [&] {
    return Setup.Server->Streams.size() == Endless &&
           !Setup.Server->Streams.back()->Received.empty();
  }));
  // Each of them stays within the limit of one response.
  std::string Part(Fixture::MaxBody * 3 / 4, 'x');
  for (size_t I = 0; I < Endless; ++I)
    Setup.Server->Streams[I]->write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n" + Part);
  runFor(Setup.TheLoop, 500ms);
  size_t Failed = 0;
  for (const std::optional<Outcome> &Each : Ended)
    Failed += Each.has_value();
  CHECK(Endless - Failed <= Fixture::MaxBuffered / Part.size() + 1);
  Setup.Responses = {response("2", "b")};
  Setup.NextResponse = 0;
  CHECK(Setup.request("2").value().Body == "b");
}

TEST_CASE("a status line that is not valid is an error, and the connection is "
          "not used again") {
  // Guards against passing on what a broken server sends: 600, 999 and HTTP/9.9
  // were taken for good responses.
  const char *StatusLines[] = {
      "HTTP/1.1 000 Zero",
      "HTTP/1.1 099 Low",
      "HTTP/1.1 600 High",
      "HTTP/1.1 999 High",
      "HTTP/1.1 20 OK",
      "HTTP/1.1 2 OK",
      "HTTP/1.1 0200 OK",
      "HTTP/1.1 2000 OK",
      "HTTP/1.1 2x0 OK",
      "HTTP/1.1 +20 OK",
      "HTTP/1.1 200OK",
      "HTTP/1.1  200 OK",
      "HTTP/1.1\t200 OK",
      "HTTP/1.1",
      "HTTP/1.1 ",
      "HTTP/9.9 200 OK",
      "HTTP/2.0 200 OK",
      "HTTP/1.2 200 OK",
      "HTTP/0.9 200 OK",
      "HTTP/1.10 200 OK",
      "HTTP/11 200 OK",
      "http/1.1 200 OK",
      "ICY 200 OK",
      "HTTP/1.1 200 OK\x01",
      "HTTP/1.1 200 \x7fOK",
      "junk\r\nHTTP/1.1 200 OK",
      "HTTP/1.1 200 OK\r\njunk",
  };
  uint16_t Port = 18231;
  for (const char *Line : StatusLines) {
    INFO(Line);
    Fixture Setup(Port++);
    Setup.Responses = {std::string(Line) +
                           "\r\nId: 1\r\nContent-Length: 1\r\n\r\na",
                       response("2", "b")};
    Outcome First = Setup.request("1", 300ms);
    CHECK_FALSE(First);
    if (First)
      continue;
    CHECK(First.error().Code == HttpClientErrorCode::BadResponse);
    CHECK(First.error().Sent);
    CHECK(Setup.request("2").value().Body == "b");
    CHECK(Setup.Client->opened() == 2);
  }
}

TEST_CASE("status lines that are valid are accepted, whole or byte by byte") {
  const char *StatusLines[] = {
      "HTTP/1.1 200 OK", "HTTP/1.0 200 OK",           "HTTP/1.1 200",
      "HTTP/1.1 200 ",   "HTTP/1.1 299 Se\xc3\xb1or", "\r\nHTTP/1.1 200 OK"};
  for (const char *Line : StatusLines) {
    INFO(Line);
    std::string Text = std::string(Line) + "\r\nContent-Length: 1\r\n\r\na";
    for (size_t Step : {size_t(1), Text.size()}) {
      MessageParser Parser(MessageKind::Response, {});
      for (size_t At = 0; At < Text.size(); At += Step)
        Parser.feed(std::string_view(Text).substr(At, Step));
      CHECK(Parser.error() == ParseError::None);
      CHECK(Parser.ready());
    }
  }
}

TEST_CASE("an interim response without a final one is an error") {
  Fixture Setup(18260);
  Setup.Responses = {"HTTP/1.1 100 Continue\r\n\r\n<close>",
                     "HTTP/1.1 103 Early Hints\r\nId: 2\r\n\r\n",
                     response("3", "c")};
  CHECK(Setup.request("1").error().Code == HttpClientErrorCode::ConnectionLost);
  CHECK(Setup.request("2", 300ms).error().Code ==
        HttpClientErrorCode::TimedOut);
  CHECK(Setup.request("3").value().Body == "c");
  CHECK(Setup.Client->opened() == 3);
}

TEST_CASE("a response waits for memory and is then received") {
  // Guards against large responses that together take more than the budget.
  MemoryBudget Budget(100000);
  Loop TheLoop;
  Address Listen = loopbackAddress(18261);
  RawListener Server(TheLoop, Listen, [](RawStream &Stream) {
    if (Stream.Received.find("\r\n\r\n") == std::string::npos)
      return;
    Stream.Received.clear();
    Stream.write(response("1", std::string(60000, 'x')));
  });
  PooledClientOptions Options;
  Options.Memory = &Budget;
  PooledClient Client(TheLoop, Options);
  MemoryCharge Other(&Budget, MemoryKind::Frames);
  Other.set(80000);
  std::optional<Outcome> Ended;
  auto Call = Client.send(Listen, {"GET", "/", {}, ""}, 5s,
                          [&](Outcome Final) { Ended = Final; });
  runFor(TheLoop, 300ms);
  CHECK_FALSE(Ended);
  CHECK(Budget.used() == 80000);
  Other.set(0);
  REQUIRE(runUntil(TheLoop, [&] { return Ended.has_value(); }));
  CHECK(Ended->value().Body.size() == 60000);
  CHECK(Budget.used() == 0);
}
