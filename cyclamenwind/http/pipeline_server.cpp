#include "cyclamenwind/http/pipeline_server.h"

#include "cyclamenwind/base/log.h"

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

class PipelinedExchange final : public Exchange {
public:
  PipelinedExchange(PipelineConnection *Connection, HttpRequest Parsed,
                    bool KeepAlive)
      : Connection(Connection), Request(std::move(Parsed)),
        IsHead(Request.Method == "HEAD"), KeepAlive(KeepAlive) {}

  const HttpRequest &request() const override { return Request; }
  std::string peerHost() const override;
  HttpRequest takeRequest() override { return std::move(Request); }
  void reply(const HttpResponse &Response) override;
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
        Peer(Stream.peerHost()), LastActivity(Server.TheLoop.now()) {
    if (Server.Pacer != nullptr)
      Stream.paceWith(*Server.Pacer);
  }

  ~PipelineConnection() override { disconnectExchanges(); }

  void onReceived(std::string_view Bytes) override {
    LastActivity = Server.TheLoop.now();
    if (Closing || Server.ReadingStopped)
      return;
    Unparsed.append(Bytes);
    parse();
  }

  void onClosed(StreamCloseReason) override {
    disconnectExchanges();
    Server.removeConnection(this);
  }

  void onFlushed() override {
    if (Closing)
      LastActivity = Server.TheLoop.now();
  }

  // Writes the responses that are next in order.
  void flushResponses() {
    while (!Exchanges.empty() && Exchanges.front()->QueuedResponse) {
      std::shared_ptr<PipelinedExchange> Next = Exchanges.front();
      Exchanges.pop_front();
      Next->Connection = nullptr;
      bool Last = Exchanges.empty() &&
                  (Server.ReadingStopped ||
                   (!Parser->hasPartialMessage() && Unparsed.empty()));
      bool Close = !Next->KeepAlive || (Server.Draining && Last);
      Stream.write(serialize(*Next->QueuedResponse, Next->IsHead, Close));
      if (Close) {
        close();
        return;
      }
    }
    LastActivity = Server.TheLoop.now();
    if (ReadingPaused && Exchanges.size() < MaxPipelined) {
      ReadingPaused = false;
      Stream.resumeReading();
      parse();
    }
  }

  void abort() {
    disconnectExchanges();
    Server.TheLoop.defer([TheServer = &Server, Self = this] {
      TheServer->removeConnection(Self);
    });
  }

  const std::string &peerHost() const { return Peer; }

  bool isIdle() const {
    return Exchanges.empty() && !Parser->hasPartialMessage() &&
           Unparsed.empty() && Stream.unsentBytes() == 0;
  }

  size_t unfinished() const {
    return Exchanges.size() + (Stream.unsentBytes() > 0 ? 1 : 0);
  }

  // Applies the timeouts. Returns whether the connection must be closed now; a
  // header timeout is answered with 408 instead.
  bool enforceTimeouts(TimePoint Now) {
    if (Closing)
      return Now - LastActivity > LingerTimeout && Stream.unsentBytes() == 0;
    if (Parser->hasPartialMessage() && !Parser->headersComplete() &&
        Now - MessageStart > Server.Limits.HeaderTimeout) {
      rejectAndClose(408, "the headers did not come in time\n");
      return false;
    }
    return isIdle() && Now - LastActivity > Server.Limits.IdleTimeout;
  }

  // Discards a partly read request and everything after it.
  void stopReading() {
    Unparsed.clear();
    if (Exchanges.empty() && !Closing)
      close();
  }

  void close() {
    Closing = true;
    Stream.resumeReading();
    disconnectExchanges();
    Unparsed.clear();
    Stream.shutdownAfterFlush();
  }

private:
  void parse() {
    std::shared_ptr<bool> StillAlive = Alive;
    while (!Unparsed.empty() && !Closing && !ReadingPaused) {
      bool StartsMessage = !Parser->hasPartialMessage();
      size_t Used = Parser->feed(Unparsed);
      Unparsed.erase(0, Used);
      if (StartsMessage)
        MessageStart = Server.TheLoop.now();
      if (Parser->error() != ParseError::None) {
        rejectAndClose(statusOf(Parser->error()), "the request is malformed\n");
        return;
      }
      if (!Parser->ready())
        return;
      dispatch(Parser->take());
      if (!*StillAlive)
        return;
    }
  }

  void dispatch(ParsedMessage Message) {
    auto Received = std::make_shared<PipelinedExchange>(
        this, std::move(Message.Request), Message.KeepAlive);
    Exchanges.push_back(Received);
    if (!Message.KeepAlive || Exchanges.size() >= MaxPipelined) {
      ReadingPaused = true;
      Stream.pauseReading();
      // Keeps reading, to detect that the client closes.
      if (!Message.KeepAlive)
        Stream.resumeReading();
    }
    Server.Handler(Received);
  }

  // Queues an error response in place of the rest of the input and closes the
  // connection after it; responses to earlier requests are still sent first.
  void rejectAndClose(int Status, std::string_view Cause) {
    logWarning("request_rejected", {{"status", Status}, {"cause", Cause}});
    auto Rejected = std::make_shared<PipelinedExchange>(this, HttpRequest(),
                                                        /*KeepAlive=*/false);
    Unparsed.clear();
    ReadingPaused = true;
    Exchanges.push_back(Rejected);
    Rejected->reply({Status, {}, std::string(Cause)});
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
  bool ReadingPaused = false;
  bool Closing = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);

  friend class PipelineServer;
};

void PipelinedExchange::reply(const HttpResponse &Response) {
  if (QueuedResponse)
    return;
  QueuedResponse = Response;
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
          TheLoop, Listen,
          [this](evutil_socket_t Socket) { accept(Socket); })) {
  SweepTimer =
      TheLoop.every(SweepPeriod, [this] { sweep(this->TheLoop.now()); });
}

PipelineServer::~PipelineServer() = default;

void PipelineServer::accept(evutil_socket_t Socket) {
  auto Connection = std::make_unique<PipelineConnection>(*this, Socket);
  PipelineConnection *Key = Connection.get();
  Connections[Key] = std::move(Connection);
}

void PipelineServer::removeConnection(PipelineConnection *Ended) {
  auto Found = Connections.find(Ended);
  if (Found == Connections.end())
    return;
  std::unique_ptr<PipelineConnection> Removed = std::move(Found->second);
  Connections.erase(Found);
  *Removed->Alive = false;
  // Destroyed in a deferred action, since one of its functions may be running.
  std::shared_ptr<PipelineConnection> Shared = std::move(Removed);
  TheLoop.defer([Shared] {});
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
