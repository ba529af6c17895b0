#include "cyclamenwind/http/pooled_client.h"

#include "cyclamenwind/base/log.h"

#include <charconv>

namespace cyclamenwind {
namespace {

constexpr Duration SweepPeriod = 1s;
// The server's own timeout runs from when it wrote; ours ends this much sooner.
constexpr Duration KeepAliveMargin = 1s;

std::string serialize(const HttpRequest &Request, const Address &To) {
  std::string Text = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  if (findHeader(Request.Headers, "Host") == nullptr)
    Text += "Host: " + To.text() + "\r\n";
  for (const HttpHeader &Each : Request.Headers) {
    Text += Each.Name;
    Text += ": ";
    Text += Each.Value;
    Text += "\r\n";
  }
  bool TakesBody = Request.Method != "GET" && Request.Method != "HEAD" &&
                   Request.Method != "DELETE";
  if (TakesBody || !Request.Body.empty())
    Text += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  Text += "\r\n";
  Text += Request.Body;
  return Text;
}

bool isRepeatable(const HttpRequest &Request) {
  return Request.Method == "GET" || Request.Method == "HEAD";
}

// The timeout that a Keep-Alive header names, in whole seconds.
std::optional<Duration> keepAliveTimeout(const HttpResponse &Response) {
  const std::string *Value = findHeader(Response.Headers, "Keep-Alive");
  if (Value == nullptr)
    return std::nullopt;
  constexpr std::string_view Key = "timeout=";
  size_t At = Value->find(Key);
  if (At == std::string::npos)
    return std::nullopt;
  int64_t Seconds = 0;
  const char *Begin = Value->data() + At + Key.size();
  auto [End, Error] =
      std::from_chars(Begin, Value->data() + Value->size(), Seconds);
  if (Error != std::errc() || Seconds < 0)
    return std::nullopt;
  return Duration(std::chrono::seconds(Seconds));
}

} // namespace

class PooledClient::Connection final : public StreamOwner {
public:
  Connection(PooledClient &Pool, const Address &To)
      : Pool(Pool), To(To), Stream(Pool.TheLoop, *this, To),
        Parser(MessageKind::Response, Pool.Options.Parser) {}

  void received(std::string_view Bytes) override;
  void ended(StreamEnd End) override;

  PooledClient &Pool;
  Address To;
  ByteStream Stream;
  MessageParser Parser;
  Call *User = nullptr;
  TimePoint IdleSince;
  std::optional<Duration> ServerTimeout;
};

class PooledClient::Call final : public HttpCall {
public:
  Call(PooledClient &Pool, HttpRequest Request, HttpCallback OnDone)
      : Pool(&Pool), PoolAlive(Pool.Alive), Request(std::move(Request)),
        OnDone(std::move(OnDone)) {}
  ~Call() override {
    if (Used && *PoolAlive)
      Pool->destroyLater(std::move(Used));
  }

  bool sent() const override {
    return Sent || (Used && Used->Stream.sentAny());
  }

  void begin(std::unique_ptr<Connection> Claimed, Duration Timeout) {
    Used = std::move(Claimed);
    Used->User = this;
    Used->Parser.expectNoBody(Request.Method == "HEAD");
    Reused = Used->Stream.sentAny();
    Used->Stream.write(serialize(Request, Used->To));
    // Once bytes are written to a kept connection they go out at once.
    Sent = Reused;
    TimeoutTimer = Pool->TheLoop.after(
        Timeout, [this] { fail(HttpClientErrorCode::TimedOut); });
  }

  void bytes(std::string_view Bytes) {
    while (!Bytes.empty()) {
      size_t Taken = Used->Parser.feed(Bytes);
      Bytes.remove_prefix(Taken);
      if (Used->Parser.error() != ParseError::None) {
        fail(Used->Parser.error() == ParseError::BodyTooLarge
                 ? HttpClientErrorCode::ResponseTooLarge
                 : HttpClientErrorCode::BadResponse);
        return;
      }
      if (Used->Parser.ready() && parsed(Bytes))
        return;
    }
  }

  void streamEnded(StreamEnd End) {
    if (End == StreamEnd::ConnectFailed) {
      fail(HttpClientErrorCode::ConnectFailed);
      return;
    }
    if (End == StreamEnd::Finished) {
      Used->Parser.finish();
      if (Used->Parser.ready() && parsed({}))
        return;
    }
    fail(HttpClientErrorCode::ConnectionLost);
  }

private:
  // Handles a whole message; says whether it ended the call.
  bool parsed(std::string_view Surplus) {
    ParsedMessage Message = Used->Parser.take();
    constexpr int FirstFinalStatus = 200;
    if (Message.Response.Status < FirstFinalStatus)
      return false;
    if (Pool->Options.Matches &&
        !Pool->Options.Matches(Request, Message.Response)) {
      logWarning(
          "response_of_another_request",
          {{"from", Used->To.text()}, {"status", Message.Response.Status}});
      Skipped = true;
      return false;
    }
    bool Reusable = Message.KeepAlive && Surplus.empty() && !Skipped &&
                    Used->Stream.backlog() == 0;
    std::unique_ptr<Connection> Released = std::move(Used);
    Released->User = nullptr;
    Released->ServerTimeout = keepAliveTimeout(Message.Response);
    if (Reusable)
      Pool->park(std::move(Released));
    else
      Pool->destroyLater(std::move(Released));
    finish(std::move(Message.Response));
    return true;
  }

  void fail(HttpClientErrorCode Code) {
    bool WasSent = sent();
    if (Used)
      Pool->destroyLater(std::move(Used));
    finish(HttpClientError{Code, WasSent});
  }

  void finish(Result<HttpResponse, HttpClientError> Outcome) {
    TimeoutTimer.reset();
    HttpCallback Action = std::move(OnDone);
    OnDone = nullptr;
    if (Action)
      Action(std::move(Outcome));
  }

  PooledClient *Pool;
  std::shared_ptr<bool> PoolAlive;
  HttpRequest Request;
  HttpCallback OnDone;
  std::unique_ptr<Connection> Used;
  TimerHandle TimeoutTimer;
  bool Reused = false;
  bool Sent = false;
  bool Skipped = false;
};

void PooledClient::Connection::received(std::string_view Bytes) {
  if (User != nullptr)
    User->bytes(Bytes);
  else
    Pool.discard(this); // Nothing was asked: the bytes belong to no request.
}

void PooledClient::Connection::ended(StreamEnd End) {
  if (User != nullptr)
    User->streamEnded(End);
  else
    Pool.discard(this);
}

PooledClient::PooledClient(Loop &TheLoop, PooledClientOptions Options)
    : TheLoop(TheLoop), Options(std::move(Options)) {
  SweepTimer =
      TheLoop.every(SweepPeriod, [this] { sweep(this->TheLoop.now()); });
}

PooledClient::~PooledClient() { *Alive = false; }

std::unique_ptr<HttpCall> PooledClient::send(const Address &To,
                                             const HttpRequest &Request,
                                             Duration Timeout,
                                             HttpCallback OnDone) {
  auto Started = std::make_unique<Call>(*this, Request, std::move(OnDone));
  Started->begin(claim(To, isRepeatable(Request)), Timeout);
  return Started;
}

std::unique_ptr<PooledClient::Connection> PooledClient::claim(const Address &To,
                                                              bool Idempotent) {
  auto Found = Idle.find(To);
  Duration Limit = Idempotent ? Options.MaxIdle : Options.MaxIdleOfOthers;
  TimePoint Now = TheLoop.now();
  // The most recently used connection stands last.
  if (Found != Idle.end() && !Found->second.empty() &&
      Now - Found->second.back()->IdleSince < Limit) {
    std::unique_ptr<Connection> Reused = std::move(Found->second.back());
    Found->second.pop_back();
    return Reused;
  }
  ++Opened;
  return std::make_unique<Connection>(*this, To);
}

void PooledClient::park(std::unique_ptr<Connection> Parked) {
  Parked->IdleSince = TheLoop.now();
  Idle[Parked->To].push_back(std::move(Parked));
}

void PooledClient::discard(Connection *Ended) {
  std::list<std::unique_ptr<Connection>> &List = Idle[Ended->To];
  for (auto Each = List.begin(); Each != List.end(); ++Each)
    if (Each->get() == Ended) {
      std::unique_ptr<Connection> Kept = std::move(*Each);
      List.erase(Each);
      destroyLater(std::move(Kept));
      return;
    }
}

// A connection is destroyed from the loop, since it may be running now.
void PooledClient::destroyLater(std::unique_ptr<Connection> Ended) {
  Ended->User = nullptr;
  Ended->Stream.pauseReading();
  std::shared_ptr<Connection> Shared = std::move(Ended);
  TheLoop.defer([Shared] {});
}

void PooledClient::closeIdle(const Address &To) {
  auto Found = Idle.find(To);
  if (Found == Idle.end())
    return;
  for (std::unique_ptr<Connection> &Each : Found->second)
    destroyLater(std::move(Each));
  Idle.erase(Found);
}

void PooledClient::sweep(TimePoint Now) {
  for (auto &[To, List] : Idle)
    List.remove_if([&](const std::unique_ptr<Connection> &Each) {
      Duration Limit = Options.MaxIdle;
      if (Each->ServerTimeout)
        Limit = std::min(Limit, *Each->ServerTimeout - KeepAliveMargin);
      return Now - Each->IdleSince >= Limit;
    });
}

} // namespace cyclamenwind
