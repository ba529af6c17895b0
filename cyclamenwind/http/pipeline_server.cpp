#include "cyclamenwind/http/pipeline_server.h"

#include "cyclamenwind/base/log.h"

#include <algorithm>
#include <deque>

namespace cyclamenwind {

class PipelineConnection;

namespace {

// Maximum requests of one connection that run concurrently; the server pauses
// reading at this number.
constexpr size_t MaxPipelined = 32;
constexpr Duration SweepPeriod = 500ms;
// How long the server waits for the client's FIN after sending its own.
constexpr Duration LingerTimeout = 1s;
// The same for a client that goes on sending what was refused.
constexpr Duration MaxLinger = 5s;
// Received bytes that may wait for earlier requests or for memory; above, the
// server does not read. Below, it reads on, to notice that the client closes.
constexpr size_t MaxUnparsed = 4 * 1024;
// Of an accepted connection in the kernel. The connections that the memory is
// for have their bodies read as fast as they are sent; this only bounds what
// waits while the process is busy.
constexpr size_t ReceiveBufferBytes = 8 * 1024;
// Memory of a connection besides its requests and responses.
constexpr size_t ConnectionMemory = ReceiveBufferBytes + MaxUnparsed;
// What an ordinary head or small message takes; it is covered by the charge of
// its connection, so that it is read also when there is no memory left.
constexpr size_t UnchargedBytes = 4 * 1024;
// A head is parsed in slices of this size, with a claim for memory after each:
// 16 KB of short lines take a megabyte once they are parsed.
constexpr size_t HeadSliceBytes = 1024;
// Copies of a body that exist at a time: the request, kept for retries, and the
// frame or message that is sent.
constexpr size_t BodyCopies = 2;
// Part of the budget that the unfinished requests of one connection may take;
// above it the next request is not read.
constexpr size_t ConnectionShareDivisor = 4;
// Reading is paused for at most this long for want of memory, well below the
// deadlines of callers.
constexpr Duration MaxMemoryWait = 1s;
constexpr Duration RetryPeriod = 20ms;
// Connections closed in one RetryPeriod for want of memory.
constexpr int MaxShedPerRetry = 16;

std::string_view reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Payload Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

bool allowsBody(int Status) {
  return Status >= 200 && Status != 204 && Status != 304;
}

std::string serialize(const HttpResponse &Response, bool IsHead, bool Close) {
  std::string Text = "HTTP/1.1 " + std::to_string(Response.Status) + " ";
  Text += reasonPhrase(Response.Status);
  Text += "\r\n";
  for (const HttpHeader &Header : Response.Headers) {
    Text += Header.Name;
    Text += ": ";
    Text += Header.Value;
    Text += "\r\n";
  }
  if (allowsBody(Response.Status))
    Text += "Content-Length: " + std::to_string(Response.Body.size()) + "\r\n";
  if (Close)
    Text += "Connection: close\r\n";
  Text += "\r\n";
  if (!IsHead && allowsBody(Response.Status))
    Text += Response.Body;
  return Text;
}

int statusOf(ParseError Error) {
  switch (Error) {
  case ParseError::HeadersTooLarge:
    return 431;
  case ParseError::BodyTooLarge:
    return 413;
  default:
    return 400;
  }
}

size_t memoryOf(const HttpResponse &Response) { return Response.Body.size(); }

class PipelinedExchange final : public Exchange {
public:
  PipelinedExchange(PipelineConnection *Connection, HttpRequest Parsed,
                    bool KeepAlive)
      : Connection(Connection), Request(std::move(Parsed)),
        IsHead(Request.Method == "HEAD"), KeepAlive(KeepAlive) {}

  const HttpRequest &request() const override { return Request; }
  std::string peerHost() const override;
  HttpRequest takeRequest() override { return std::move(Request); }
  void reply(const HttpResponse &Final) override;
  void abandon() override;
  void onPeerGone(std::function<void()> Action) override {
    OnPeerGone = std::move(Action);
  }

  void disconnect() {
    Connection = nullptr;
    std::function<void()> Action = std::move(OnPeerGone);
    OnPeerGone = nullptr;
    if (Action && !QueuedResponse)
      Action();
  }

  PipelineConnection *Connection;
  HttpRequest Request;
  std::optional<HttpResponse> QueuedResponse;
  MemoryCharge HeadCharge;
  MemoryCharge BodyCharge;
  MemoryCharge ResponseCharge;
  std::function<void()> OnPeerGone;
  bool IsHead;
  bool KeepAlive;
};

} // namespace

class PipelineConnection final : public StreamEventHandler {
public:
  PipelineConnection(PipelineServer &Server, evutil_socket_t Socket)
      : Server(Server), Stream(Server.TheLoop, *this, Socket),
        Parser(std::make_unique<MessageParser>(MessageKind::Request,
                                               Server.Limits.Parser)),
        Peer(Stream.peerHost()), LastActivity(Server.TheLoop.now()),
        OwnCharge(Server.Budget, MemoryKind::Connections),
        OutputCharge(Server.Budget, MemoryKind::Responses) {
    if (Server.Pacer != nullptr)
      Stream.paceWith(*Server.Pacer);
    OwnCharge.set(ConnectionMemory);
    resetRequestCharges();
    Meter.restart(LastActivity);
  }

  ~PipelineConnection() override { disconnectExchanges(); }

  void onReceived(std::string_view Bytes) override {
    LastActivity = Server.TheLoop.now();
    if (Closing || Server.ReadingStopped || InputEnded)
      return;
    Meter.count(Bytes.size(), LastActivity);
    Unparsed.append(Bytes);
    parse();
  }

  void onClosed(StreamCloseReason) override {
    disconnectExchanges();
    Server.removeConnection(this);
  }

  void onFlushed() override {
    OutputCharge.set(Stream.outputMemory());
    if (Closing)
      LastActivity = Server.TheLoop.now();
  }

  // Writes the responses that are next in order.
  void flushResponses() {
    while (!Exchanges.empty() && Exchanges.front()->QueuedResponse) {
      std::shared_ptr<PipelinedExchange> Next = Exchanges.front();
      Exchanges.pop_front();
      Next->Connection = nullptr;
      bool Last =
          Exchanges.empty() && (Server.ReadingStopped ||
                                (!hasUnfinishedInput() && Unparsed.empty()));
      bool Close = !Next->KeepAlive || (Server.Draining && Last);
      Stream.write(serialize(*Next->QueuedResponse, Next->IsHead, Close));
      OutputCharge.set(Stream.outputMemory());
      // Assigning an empty string would keep the memory.
      std::string().swap(Next->QueuedResponse->Body);
      Next->ResponseCharge.set(0);
      if (Close) {
        close();
        return;
      }
    }
    LastActivity = Server.TheLoop.now();
    if (ReadingPaused && !holdsEnough()) {
      ReadingPaused = false;
      parse();
    }
  }

  void abort() {
    Aborted = true;
    Server.stopWaiting(this);
    disconnectExchanges();
    Server.TheLoop.defer([TheServer = &Server, Self = this] {
      TheServer->removeConnection(Self);
    });
  }

  const std::string &peerHost() const { return Peer; }

  // The response that replaces Response, for which there is no memory. The
  // server may have run the request.
  HttpResponse refuseResponse(const HttpResponse &Response) {
    logWarning("response_refused", {{"status", Response.Status},
                                    {"bytes", memoryOf(Response)},
                                    {"peer", Peer}});
    Server.Budget->countShed(ShedCause::Response);
    return {502, {}, "no memory for the response\n"};
  }

  bool isIdle() const {
    return Exchanges.empty() && !hasUnfinishedInput() && Unparsed.empty() &&
           Stream.unsentBytes() == 0;
  }

  // What closing this connection would return, and whether it may be closed.
  ShedCandidate candidate(TimePoint Now) {
    using Phase = ShedCandidate::Phase;
    noteSentBytes(Now);
    size_t Held = OwnCharge.bytes() + HeadCharge.bytes() + BodyCharge.bytes() +
                  OutputCharge.bytes();
    if (Aborted || !Exchanges.empty() || WaitingSince)
      return {Phase::Busy, Held, {}};
    if (Stream.unsentBytes() > 0)
      return {Stream.waitsForPeer() ? Phase::Sending : Phase::Busy, Held,
              Meter.stalledFor(Now)};
    if (!Closing && hasUnfinishedInput())
      return {Phase::Reading, Held, Meter.stalledFor(Now)};
    return {Phase::Idle, Held, Now - LastActivity};
  }

  // Closes the connection for want of memory or descriptors. Gracefully: a
  // request that was received in part gets a response first.
  void shed(ShedCandidate::Phase State, bool Gracefully) {
    logWarning("connection_shed", {{"cause", nameOf(causeOf(State))},
                                   {"peer", Peer},
                                   {"head_bytes", HeadCharge.bytes()},
                                   {"body_bytes", BodyCharge.bytes()},
                                   {"output_bytes", OutputCharge.bytes()}});
    if (Server.Budget != nullptr)
      Server.Budget->countShed(causeOf(State));
    if (Gracefully && State == ShedCandidate::Phase::Reading)
      rejectAndClose(503, "memory is short and the request does not come in\n");
    else
      abort();
  }

  // Tries again to get memory for the request that waits for it. Refuses the
  // request if it has waited for too long.
  void retryMemory(TimePoint Now) {
    if (claimMemory()) {
      // The time without reading does not count against the client.
      MessageStart += Now - *WaitingSince;
      Meter.restart(Now);
      Server.stopWaiting(this);
      parse();
      return;
    }
    if (Now - *WaitingSince < MaxMemoryWait)
      return;
    if (Server.Budget != nullptr)
      Server.Budget->countShed(ShedCause::WaitedTooLong);
    rejectAndClose(503, "no memory for the request\n");
  }

  size_t unfinished() const {
    return Exchanges.size() + (Stream.unsentBytes() > 0 ? 1 : 0);
  }

  // Applies the timeouts. Returns whether the connection must be closed now; a
  // header timeout is answered with 408 instead.
  bool enforceTimeouts(TimePoint Now) {
    noteSentBytes(Now);
    if (Closing)
      return (Now - LastActivity > LingerTimeout || Now > LingerUntil) &&
             Stream.unsentBytes() == 0;
    if (Parser->hasPartialMessage() && !WaitingSince) {
      if (!Parser->headersComplete() &&
          Now - MessageStart > Server.Limits.HeaderTimeout) {
        rejectAndClose(408, "the headers did not come in time\n");
        return false;
      }
      if (Parser->headersComplete() &&
          Now - LastActivity > Server.Limits.BodyStallTimeout) {
        rejectAndClose(408, "the body did not come in time\n");
        return false;
      }
    }
    return isIdle() && Now - LastActivity > Server.Limits.IdleTimeout;
  }

  // Discards a partly read request and everything after it.
  void stopReading() {
    Server.stopWaiting(this);
    Unparsed.clear();
    if (Exchanges.empty() && !Closing)
      close();
  }

  void close() {
    Closing = true;
    LingerUntil = Server.TheLoop.now() + MaxLinger;
    Server.stopWaiting(this);
    Stream.resumeReading();
    disconnectExchanges();
    discardInput();
    Stream.shutdownAfterFlush();
  }

private:
  void parse() {
    std::shared_ptr<bool> StillAlive = Alive;
    while (canParse()) {
      if (!Parser->ready())
        feedParser();
      if (Parser->error() != ParseError::None) {
        rejectAndClose(statusOf(Parser->error()), "the request is malformed\n");
        return;
      }
      if (!claimMemory()) {
        WaitingSince = Server.TheLoop.now();
        Server.waitForMemory(this);
        break;
      }
      if (!Parser->ready())
        continue; // Unparsed may hold more of the request.
      dispatch(Parser->take());
      if (!*StillAlive)
        return;
    }
    if (Unparsed.empty() && Unparsed.capacity() > MaxUnparsed)
      Unparsed.shrink_to_fit();
    if ((ReadingPaused || WaitingSince) && !InputEnded &&
        Unparsed.size() >= MaxUnparsed)
      Stream.pauseReading();
    else
      Stream.resumeReading();
  }

  bool canParse() const {
    return (!Unparsed.empty() || Parser->ready()) && !Closing && !Aborted &&
           !ReadingPaused && !WaitingSince && !InputEnded &&
           !Server.ReadingStopped;
  }

  void feedParser() {
    bool StartsMessage = !Parser->hasPartialMessage();
    size_t Bytes = Parser->headersComplete() ? Unparsed.size() : HeadSliceBytes;
    size_t Used = Parser->feed(std::string_view(Unparsed).substr(0, Bytes));
    Unparsed.erase(0, Used);
    if (!StartsMessage)
      return;
    MessageStart = Server.TheLoop.now();
    Meter.restart(MessageStart);
  }

  // Charges what the message in the parser takes. Returns whether there was
  // room for it. For a declared length the whole body is charged at once, so
  // that a request whose body was begun can be completed.
  bool claimMemory() {
    auto Charged = [](size_t Bytes) {
      return Bytes <= UnchargedBytes ? 0 : Bytes;
    };
    if (!HeadCharge.trySet(Charged(Parser->headMemory())) ||
        !BodyCharge.trySet(BodyCopies * Charged(Parser->bodyMemory())))
      return false;
    Parser->reserveBody();
    return true;
  }

  void releaseCharges() {
    OwnCharge.set(0);
    OutputCharge.set(0);
    HeadCharge.set(0);
    BodyCharge.set(0);
  }

  void resetRequestCharges() {
    HeadCharge = MemoryCharge(Server.Budget, MemoryKind::Heads);
    BodyCharge = MemoryCharge(Server.Budget, MemoryKind::Bodies);
  }

  // Discards what was received of requests that are not dispatched.
  void discardInput() {
    InputEnded = true;
    std::string().swap(Unparsed);
    Parser = std::make_unique<MessageParser>(MessageKind::Request,
                                             Server.Limits.Parser);
    resetRequestCharges();
  }

  // Whether a request has been received in part, or waits for memory.
  bool hasUnfinishedInput() const {
    return Parser->hasPartialMessage() || Parser->ready();
  }

  // Whether the unfinished requests are as many, or hold as much, as one
  // connection may have.
  bool holdsEnough() const {
    if (Exchanges.size() >= MaxPipelined)
      return true;
    if (Server.Budget == nullptr || Server.Budget->limit() == 0)
      return false;
    size_t Held = 0;
    for (const std::shared_ptr<PipelinedExchange> &Each : Exchanges)
      Held += Each->HeadCharge.bytes() + Each->BodyCharge.bytes() +
              Each->ResponseCharge.bytes();
    return Held > Server.Budget->limit() / ConnectionShareDivisor;
  }

  // Counts sent bytes as progress. A response that waits for the host's link
  // rather than for the client makes progress.
  void noteSentBytes(TimePoint Now) {
    size_t Unsent = Stream.unsentBytes();
    if (Unsent > 0 && !Stream.waitsForPeer())
      Meter.restart(Now);
    else if (Unsent < LastUnsent)
      Meter.count(LastUnsent - Unsent, Now);
    LastUnsent = Unsent;
  }

  void dispatch(ParsedMessage Message) {
    auto Received = std::make_shared<PipelinedExchange>(
        this, std::move(Message.Request), Message.KeepAlive);
    Received->HeadCharge = std::move(HeadCharge);
    Received->BodyCharge = std::move(BodyCharge);
    Received->ResponseCharge =
        MemoryCharge(Server.Budget, MemoryKind::Responses);
    // Whoever sends the body on charges its own copy.
    Received->BodyCharge.set(Received->BodyCharge.bytes() / BodyCopies);
    resetRequestCharges();
    Exchanges.push_back(Received);
    if (!Message.KeepAlive)
      discardInput();
    if (holdsEnough())
      ReadingPaused = true;
    Server.Handler(Received);
  }

  // Queues an error response in place of the rest of the input and closes the
  // connection after it; responses to earlier requests are still sent first.
  void rejectAndClose(int Status, std::string_view Cause) {
    logWarning("request_rejected", {{"status", Status}, {"cause", Cause}});
    auto Rejected = std::make_shared<PipelinedExchange>(this, HttpRequest(),
                                                        /*KeepAlive=*/false);
    Server.stopWaiting(this);
    discardInput();
    Stream.resumeReading();
    Exchanges.push_back(Rejected);
    HttpResponse Response{Status, {}, std::string(Cause)};
    if (Status == 503)
      Response.Headers = Server.Limits.RefusalHeaders;
    Rejected->reply(Response);
  }

  void disconnectExchanges() {
    std::deque<std::shared_ptr<PipelinedExchange>> Disconnected;
    Disconnected.swap(Exchanges);
    for (const std::shared_ptr<PipelinedExchange> &Exchange : Disconnected)
      Exchange->disconnect();
  }

  PipelineServer &Server;
  ByteStream Stream;
  std::unique_ptr<MessageParser> Parser;
  std::string Peer;
  std::string Unparsed; // Received bytes that are not parsed yet.
  std::deque<std::shared_ptr<PipelinedExchange>> Exchanges;
  TimePoint LastActivity;
  TimePoint MessageStart;
  TimePoint LingerUntil;
  MemoryCharge OwnCharge;
  MemoryCharge OutputCharge;
  MemoryCharge HeadCharge; // Of the request that is being read.
  MemoryCharge BodyCharge;
  ProgressMeter Meter;
  size_t LastUnsent = 0;
  std::optional<TimePoint> WaitingSince; // Set while it waits for memory.
  bool ReadingPaused = false;            // The requests received are enough.
  bool InputEnded = false; // What is received from now on is discarded.
  bool Closing = false;
  bool Aborted = false; // Will be removed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);

  friend class PipelineServer;
};

void PipelinedExchange::reply(const HttpResponse &Final) {
  if (QueuedResponse)
    return;
  if (Connection == nullptr)
    QueuedResponse.emplace();
  else if (memoryOf(Final) <= UnchargedBytes ||
           ResponseCharge.trySet(memoryOf(Final)))
    QueuedResponse = Final;
  else
    QueuedResponse = Connection->refuseResponse(Final);
  OnPeerGone = nullptr;
  if (Connection != nullptr)
    Connection->flushResponses();
}

std::string PipelinedExchange::peerHost() const {
  return Connection == nullptr ? "" : Connection->peerHost();
}

void PipelinedExchange::abandon() {
  if (QueuedResponse || Connection == nullptr)
    return;
  QueuedResponse.emplace();
  Connection->abort();
}

PipelineServer::PipelineServer(Loop &TheLoop, const Address &Listen,
                               const PipelineLimits &Limits,
                               ExchangeHandler Handler)
    : TheLoop(TheLoop), Limits(Limits), Handler(std::move(Handler)),
      Listener(std::make_unique<StreamListener>(
          TheLoop, Listen, [this](evutil_socket_t Socket) { accept(Socket); },
          ReceiveBufferBytes)) {
  SweepTimer =
      TheLoop.every(SweepPeriod, [this] { sweep(this->TheLoop.now()); });
}

PipelineServer::~PipelineServer() = default;

void PipelineServer::accept(evutil_socket_t Socket) {
  auto Connection = std::make_unique<PipelineConnection>(*this, Socket);
  PipelineConnection *Key = Connection.get();
  Connections[Key] = std::move(Connection);
  if (isFull())
    makeRoomForConnection();
}

// Whether there is no room for one more connection.
bool PipelineServer::isFull() const {
  return (Limits.MaxConnections > 0 &&
          Connections.size() >= Limits.MaxConnections) ||
         (Budget != nullptr &&
          !Budget->hasRoom(MemoryKind::Connections, ConnectionMemory));
}

// Closes the connection that Choose returns, if any. Returns whether it did.
bool PipelineServer::shedFor(
    std::optional<size_t> (*Choose)(const std::vector<ShedCandidate> &),
    bool Gracefully) {
  TimePoint Now = TheLoop.now();
  std::vector<PipelineConnection *> Owners;
  std::vector<ShedCandidate> Candidates;
  for (auto &[Connection, Owned] : Connections) {
    Owners.push_back(Connection);
    Candidates.push_back(Connection->candidate(Now));
  }
  std::optional<size_t> Chosen = Choose(Candidates);
  if (!Chosen)
    return false;
  Owners[*Chosen]->shed(Candidates[*Chosen].State, Gracefully);
  return true;
}

// Pauses accepting until a connection has ended; the one that is closed for it,
// if any, ends when the current callback has returned.
void PipelineServer::makeRoomForConnection() {
  bool Shed = shedFor(chooseForNewConnection, /*Gracefully=*/false);
  if (AcceptingPaused || !Listener)
    return;
  AcceptingPaused = true;
  Listener->pauseAccepting();
  if (!Shed)
    logWarning("accepting_paused", {{"connections", Connections.size()}});
  scheduleRetry();
}

void PipelineServer::resumeAcceptingIfRoom() {
  if (!AcceptingPaused || isFull())
    return;
  AcceptingPaused = false;
  if (Listener)
    Listener->resumeAccepting();
}

void PipelineServer::waitForMemory(PipelineConnection *Connection) {
  Waiting.push_back(Connection);
  scheduleRetry();
}

void PipelineServer::stopWaiting(PipelineConnection *Ended) {
  Ended->WaitingSince.reset();
  std::erase(Waiting, Ended);
}

void PipelineServer::scheduleRetry() {
  if (RetryTimer || (Waiting.empty() && !AcceptingPaused))
    return;
  RetryTimer = TheLoop.after(RetryPeriod, [this] {
    TimerHandle Fired = std::move(RetryTimer);
    retryMemory();
    scheduleRetry();
  });
}

void PipelineServer::retryMemory() {
  std::vector<PipelineConnection *> ToRetry = Waiting;
  for (PipelineConnection *Connection : ToRetry) {
    // A retry may end the wait of others.
    if (std::find(Waiting.begin(), Waiting.end(), Connection) != Waiting.end())
      Connection->retryMemory(TheLoop.now());
  }
  for (int Count = 0; Count < MaxShedPerRetry && !Waiting.empty(); ++Count)
    if (!shedFor(chooseForMemory, /*Gracefully=*/true))
      break;
  if (AcceptingPaused && isFull())
    makeRoomForConnection();
  resumeAcceptingIfRoom();
}

void PipelineServer::removeConnection(PipelineConnection *Ended) {
  auto Found = Connections.find(Ended);
  if (Found == Connections.end())
    return;
  stopWaiting(Ended);
  std::unique_ptr<PipelineConnection> Removed = std::move(Found->second);
  Connections.erase(Found);
  *Removed->Alive = false;
  Removed->releaseCharges();
  // Destroyed in a deferred action, since one of its functions may be running.
  std::shared_ptr<PipelineConnection> Shared = std::move(Removed);
  TheLoop.defer([Shared] {});
  resumeAcceptingIfRoom();
}

void PipelineServer::sweep(TimePoint Now) {
  std::vector<PipelineConnection *> Ended;
  for (auto &[Connection, Owned] : Connections)
    if (Connection->enforceTimeouts(Now))
      Ended.push_back(Connection);
  for (PipelineConnection *Connection : Ended)
    removeConnection(Connection);
}

void PipelineServer::drain(bool CloseIdle) {
  Draining = true;
  if (!CloseIdle)
    return;
  for (auto &[Connection, Owned] : Connections)
    if (!Connection->Closing && Connection->isIdle())
      Connection->close();
}

void PipelineServer::stopReading() {
  Draining = ReadingStopped = true;
  for (auto &[Connection, Owned] : Connections)
    Connection->stopReading();
}

size_t PipelineServer::unfinished() const {
  size_t Count = 0;
  for (const auto &[Connection, Owned] : Connections)
    Count += Connection->unfinished();
  return Count;
}

} // namespace cyclamenwind
