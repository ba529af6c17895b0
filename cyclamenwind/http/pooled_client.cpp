#include "cyclamenwind/http/pooled_client.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/names.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cyclamenwind {
namespace {

constexpr Duration SweepPeriod = 1s;
// The server's keep-alive timeout starts when it writes its response, before
// the client receives it; the client's limit, which it checks every
// SweepPeriod, is this much shorter.
constexpr Duration KeepAliveMargin = 1s;
// A response is large if it has this part of MaxBufferedBytes.
constexpr size_t LargeResponses = 16;
// A response of this size is read also when there is no memory left.
constexpr size_t UnchargedBytes = 4 * 1024;
constexpr Duration MemoryRetryPeriod = 20ms;
// Responses that wait for memory block each other if they hold this part of the
// budget; with less, others hold the memory, and waiting for them is of use.
constexpr size_t BlockingShare = 4;
// Of a connection in the kernel: what a server sends while its response is not
// read. Its default is megabytes for each connection.
constexpr size_t ReceiveBufferBytes = 64 * 1024;

// Why the call is ended because of what the server sends, beside ParseError.
enum class Rejection {
  InterimResponses, // Too many bytes of them.
  SkippedResponses, // Too many responses to other requests.
  NoMemory,         // It blocks the memory that others wait for.
};

constexpr std::array<EnumName<Rejection>, 3> RejectionNames = {{
    {Rejection::InterimResponses, "interim_responses"},
    {Rejection::SkippedResponses, "skipped_responses"},
    {Rejection::NoMemory, "no_memory"},
}};

std::string_view nameOf(Rejection Reason) {
  return nameIn(RejectionNames, Reason);
}

std::string serialize(const HttpRequest &Request, const Address &To) {
  std::string Text = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  if (findHeader(Request.Headers, "Host") == nullptr)
    Text += "Host: " + To.text() + "\r\n";
  for (const HttpHeader &Header : Request.Headers) {
    Text += Header.Name;
    Text += ": ";
    Text += Header.Value;
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

bool isIdempotent(const HttpRequest &Request) {
  return Request.Method == "GET" || Request.Method == "HEAD";
}

// The timeout parameter of the Keep-Alive header, which is in whole seconds.
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

class PooledClient::Connection final : public StreamEventHandler {
public:
  Connection(PooledClient &Pool, const Address &To)
      : Pool(Pool), To(To), Stream(Pool.TheLoop, *this, To),
        Parser(MessageKind::Response, Pool.Options.Parser) {
    if (Pool.Options.Memory != nullptr)
      Stream.limitReceiveBuffer(ReceiveBufferBytes);
  }

  void onReceived(std::string_view Bytes) override;
  void onClosed(StreamCloseReason Reason) override;

  PooledClient &Pool;
  Address To;
  ByteStream Stream;
  MessageParser Parser;
  Call *ActiveCall = nullptr;
  TimePoint IdleSince;
  std::optional<Duration> ServerTimeout;
};

class PooledClient::Call final : public HttpCall {
public:
  Call(PooledClient &Pool, HttpRequest Request, HttpCallback OnDone)
      : Pool(&Pool), PoolAlive(Pool.Alive), Request(std::move(Request)),
        OnDone(std::move(OnDone)),
        Charge(Pool.Options.Memory, MemoryKind::Responses) {}
  ~Call() override {
    countBuffered(0);
    endWait();
    if (ActiveConnection && *PoolAlive)
      Pool->destroyLater(std::move(ActiveConnection));
  }

  // Bytes of the response's body that were received.
  size_t buffered() const { return Buffered; }

  bool sent() const override {
    return Sent || (ActiveConnection && ActiveConnection->Stream.sentAny());
  }

  void start(std::unique_ptr<Connection> Acquired, Duration Timeout) {
    ActiveConnection = std::move(Acquired);
    ActiveConnection->ActiveCall = this;
    ActiveConnection->Parser.expectNoBody(Request.Method == "HEAD");
    Reused = ActiveConnection->Stream.sentAny();
    StartedAt = Pool->TheLoop.now();
    ActiveConnection->Stream.write(serialize(Request, ActiveConnection->To));
    std::string().swap(Request.Body); // Not needed any more; may be large.
    // On a reused connection the bytes are sent in this loop iteration, so the
    // request counts as sent.
    Sent = Reused;
    TimeoutTimer = Pool->TheLoop.after(
        Timeout, [this] { fail(HttpClientErrorCode::TimedOut); });
  }

  void onReceived(std::string_view Bytes) {
    while (!Bytes.empty()) {
      size_t Consumed = ActiveConnection->Parser.feed(Bytes);
      Bytes.remove_prefix(Consumed);
      MessageBytes += Consumed;
      ParseError Error = ActiveConnection->Parser.error();
      if (Error != ParseError::None) {
        reject(nameOf(Error), Error == ParseError::BodyTooLarge
                                  ? HttpClientErrorCode::ResponseTooLarge
                                  : HttpClientErrorCode::BadResponse);
        return;
      }
      countBuffered(ActiveConnection->Parser.bufferedBytes());
      if (!ActiveConnection->Parser.ready() && !claimMemory()) {
        waitForMemory();
        return;
      }
      if (Pool->mustGiveUp(Buffered)) {
        logWarning("responses_too_large",
                   {{"from", ActiveConnection->To.text()},
                    {"bytes", Buffered},
                    {"all", Pool->BufferedBytes}});
        fail(HttpClientErrorCode::ResponseTooLarge);
        return;
      }
      if (ActiveConnection->Parser.ready() && onMessage(Bytes))
        return;
    }
  }

  void onStreamClosed(StreamCloseReason Reason) {
    if (Reason == StreamCloseReason::ConnectFailed) {
      fail(HttpClientErrorCode::ConnectFailed);
      return;
    }
    if (Reason == StreamCloseReason::PeerClosed) {
      ActiveConnection->Parser.finish();
      if (ActiveConnection->Parser.ready() && onMessage({}))
        return;
    }
    fail(HttpClientErrorCode::ConnectionLost);
  }

private:
  // Handles a complete message. Returns whether the call has ended.
  bool onMessage(std::string_view Surplus) {
    ParsedMessage Message = ActiveConnection->Parser.take();
    size_t Bytes = std::exchange(MessageBytes, 0);
    constexpr int FirstFinalStatus = 200;
    if (Message.Response.Status < FirstFinalStatus) {
      InterimBytes += Bytes;
      if (InterimBytes <= Pool->Options.MaxInterimBytes)
        return false;
      reject(nameOf(Rejection::InterimResponses),
             HttpClientErrorCode::BadResponse);
      return true;
    }
    if (Pool->Options.Matches &&
        !Pool->Options.Matches(Request, Message.Response, Reused)) {
      logWarning("response_of_another_request",
                 {{"from", ActiveConnection->To.text()},
                  {"status", Message.Response.Status}});
      if (++SkippedResponses <= Pool->Options.MaxSkippedResponses)
        return false;
      reject(nameOf(Rejection::SkippedResponses),
             HttpClientErrorCode::BadResponse);
      return true;
    }
    bool Reusable = Message.KeepAlive && Surplus.empty() &&
                    SkippedResponses == 0 &&
                    ActiveConnection->Stream.unsentBytes() == 0;
    std::unique_ptr<Connection> Released = std::move(ActiveConnection);
    Released->ActiveCall = nullptr;
    Released->ServerTimeout = keepAliveTimeout(Message.Response);
    if (Reusable)
      Pool->returnToPool(std::move(Released));
    else
      Pool->destroyLater(std::move(Released));
    finish(std::move(Message.Response));
    return true;
  }

  // Charges what the response takes; the whole of it if its length is declared,
  // so that a response that was begun can be completed.
  bool claimMemory() {
    size_t Bytes = ActiveConnection->Parser.bodyMemory();
    if (!Charge.trySet(Bytes <= UnchargedBytes ? 0 : Bytes))
      return false;
    ActiveConnection->Parser.reserveBody();
    return true;
  }

  void waitForMemory() {
    ActiveConnection->Stream.pauseReading();
    if (!WaitsSince)
      WaitsSince = Pool->TheLoop.now();
    if (!ActiveConnection->Parser.declaredBodyBytes())
      Pool->Waiting.insert(this);
    MemoryTimer = Pool->TheLoop.after(MemoryRetryPeriod, [this] {
      TimerHandle Fired = std::move(MemoryTimer);
      if (!ActiveConnection)
        return;
      if (claimMemory()) {
        endWait();
        ActiveConnection->Stream.resumeReading();
      } else if (Pool->TheLoop.now() - *WaitsSince >=
                     Pool->Options.MaxMemoryWait &&
                 Pool->mustMakeRoom(*this)) {
        Pool->Options.Memory->countShed(ShedCause::Response);
        reject(nameOf(Rejection::NoMemory),
               HttpClientErrorCode::ResponseTooLarge);
      } else {
        waitForMemory();
      }
    });
  }

  void endWait() {
    WaitsSince.reset();
    if (*PoolAlive)
      Pool->Waiting.erase(this);
  }

  // Ends the call because of what the server sent.
  void reject(std::string_view Reason, HttpClientErrorCode Code) {
    logWarning("response_rejected", {{"from", ActiveConnection->To.text()},
                                     {"reason", Reason},
                                     {"message_bytes", MessageBytes},
                                     {"body_bytes", Buffered}});
    fail(Code);
  }

  void fail(HttpClientErrorCode Code) {
    bool WasSent = sent();
    bool MayConcernOthers = Code == HttpClientErrorCode::TimedOut ||
                            Code == HttpClientErrorCode::ConnectionLost;
    if (ActiveConnection) {
      if (Reused && MayConcernOthers)
        Pool->closeIdleSince(ActiveConnection->To, StartedAt);
      Pool->destroyLater(std::move(ActiveConnection));
    }
    finish(HttpClientError{Code, WasSent});
  }

  // Replaces this call's part of the pool's BufferedBytes.
  void countBuffered(size_t Bytes) {
    if (*PoolAlive)
      Pool->BufferedBytes += Bytes - Buffered;
    Buffered = Bytes;
  }

  void finish(Result<HttpResponse, HttpClientError> Outcome) {
    countBuffered(0);
    endWait();
    Charge.set(0);
    TimeoutTimer.reset();
    MemoryTimer.reset();
    HttpCallback Callback = std::move(OnDone);
    OnDone = nullptr;
    if (Callback)
      Callback(std::move(Outcome));
  }

  PooledClient *Pool;
  std::shared_ptr<bool> PoolAlive;
  HttpRequest Request;
  HttpCallback OnDone;
  std::unique_ptr<Connection> ActiveConnection;
  TimerHandle TimeoutTimer;
  TimerHandle MemoryTimer; // Set while the response waits for memory.
  MemoryCharge Charge;
  TimePoint StartedAt;
  size_t Buffered = 0;     // Bytes of the response's body that were received.
  size_t MessageBytes = 0; // Bytes of the current message that were received.
  size_t InterimBytes = 0; // Of all interim responses.
  int SkippedResponses = 0;
  // Set while the response waits for memory.
  std::optional<TimePoint> WaitsSince;
  bool Reused = false;
  bool Sent = false;
};

void PooledClient::Connection::onReceived(std::string_view Bytes) {
  if (ActiveCall != nullptr)
    ActiveCall->onReceived(Bytes);
  else
    Pool.removeIdle(this); // The bytes belong to no request.
}

void PooledClient::Connection::onClosed(StreamCloseReason Reason) {
  if (ActiveCall != nullptr)
    ActiveCall->onStreamClosed(Reason);
  else
    Pool.removeIdle(this);
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
  auto NewCall = std::make_unique<Call>(*this, Request, std::move(OnDone));
  NewCall->start(acquire(To, isIdempotent(Request)), Timeout);
  return NewCall;
}

std::unique_ptr<PooledClient::Connection>
PooledClient::acquire(const Address &To, bool Idempotent) {
  auto Found = IdleConnections.find(To);
  Duration Limit =
      Idempotent ? Options.MaxIdleTime : Options.MaxIdleTimeNonIdempotent;
  TimePoint Now = TheLoop.now();
  // The most recently used connection is the last one.
  if (Found != IdleConnections.end() && !Found->second.empty() &&
      Now - Found->second.back()->IdleSince < Limit) {
    std::unique_ptr<Connection> Reused = std::move(Found->second.back());
    Found->second.pop_back();
    return Reused;
  }
  ++Opened;
  return std::make_unique<Connection>(*this, To);
}

void PooledClient::returnToPool(std::unique_ptr<Connection> Returned) {
  Returned->IdleSince = TheLoop.now();
  IdleConnections[Returned->To].push_back(std::move(Returned));
}

void PooledClient::removeIdle(Connection *Closed) {
  std::list<std::unique_ptr<Connection>> &Connections =
      IdleConnections[Closed->To];
  for (auto Position = Connections.begin(); Position != Connections.end();
       ++Position)
    if (Position->get() == Closed) {
      std::unique_ptr<Connection> Removed = std::move(*Position);
      Connections.erase(Position);
      destroyLater(std::move(Removed));
      return;
    }
}

// Destroys the connection in a deferred action, since one of its functions may
// be running.
void PooledClient::destroyLater(std::unique_ptr<Connection> Ended) {
  Ended->ActiveCall = nullptr;
  Ended->Stream.pauseReading();
  std::shared_ptr<Connection> Shared = std::move(Ended);
  TheLoop.defer([Shared] {});
}

void PooledClient::closeIdle(const Address &To) {
  auto Found = IdleConnections.find(To);
  if (Found == IdleConnections.end())
    return;
  for (std::unique_ptr<Connection> &Candidate : Found->second)
    destroyLater(std::move(Candidate));
  IdleConnections.erase(Found);
}

void PooledClient::closeIdleSince(const Address &To, TimePoint Start) {
  auto Found = IdleConnections.find(To);
  if (Found == IdleConnections.end())
    return;
  for (auto Position = Found->second.begin();
       Position != Found->second.end();) {
    if ((*Position)->IdleSince > Start) {
      ++Position;
      continue;
    }
    destroyLater(std::move(*Position));
    Position = Found->second.erase(Position);
  }
}

// Whether a response of which ResponseBytes were received has to fail, so that
// servers which send without end do not use up the memory.
bool PooledClient::mustGiveUp(size_t ResponseBytes) const {
  return Options.Memory == nullptr &&
         BufferedBytes > Options.MaxBufferedBytes &&
         ResponseBytes > Options.MaxBufferedBytes / LargeResponses;
}

// Whether the responses that wait for memory and have no declared length block
// each other, and none of them holds more than that of Candidate.
bool PooledClient::mustMakeRoom(const Call &Candidate) const {
  size_t Held = 0;
  size_t Largest = 0;
  for (const Call *Each : Waiting) {
    Held += Each->buffered();
    Largest = std::max(Largest, Each->buffered());
  }
  return Waiting.count(&Candidate) != 0 && Candidate.buffered() == Largest &&
         Held >= Options.Memory->limit() / BlockingShare;
}

void PooledClient::sweep(TimePoint Now) {
  for (auto &[To, Connections] : IdleConnections)
    Connections.remove_if([&](const std::unique_ptr<Connection> &Candidate) {
      Duration Limit = Options.MaxIdleTime;
      if (Candidate->ServerTimeout)
        Limit = std::min(Limit, *Candidate->ServerTimeout - KeepAliveMargin);
      return Now - Candidate->IdleSince >= Limit;
    });
}

} // namespace cyclamenwind
