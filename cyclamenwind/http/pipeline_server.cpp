#include "cyclamenwind/http/pipeline_server.h"

#include "cyclamenwind/base/log.h"

#include <deque>

namespace cyclamenwind {

class PipelineConnection;

namespace {

// Requests of one connection that are run at once; reading stops beyond.
constexpr size_t MaxPipelined = 32;
constexpr Duration SweepPeriod = 500ms;
// How long a closed connection waits for the client's FIN.
constexpr Duration LingerLimit = 1s;

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

std::string serialize(const HttpResponse &Response, bool Head, bool Close) {
  std::string Text = "HTTP/1.1 " + std::to_string(Response.Status) + " ";
  Text += reasonPhrase(Response.Status);
  Text += "\r\n";
  for (const HttpHeader &Each : Response.Headers) {
    Text += Each.Name;
    Text += ": ";
    Text += Each.Value;
    Text += "\r\n";
  }
  if (allowsBody(Response.Status))
    Text += "Content-Length: " + std::to_string(Response.Body.size()) + "\r\n";
  if (Close)
    Text += "Connection: close\r\n";
  Text += "\r\n";
  if (!Head && allowsBody(Response.Status))
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
  PipelinedExchange(PipelineConnection *Connection, HttpRequest Received,
                    bool KeepAlive)
      : Connection(Connection), Request(std::move(Received)),
        Head(Request.Method == "HEAD"), KeepAlive(KeepAlive) {}

  const HttpRequest &request() const override { return Request; }
  std::string peerHost() const override;
  HttpRequest takeRequest() override { return std::move(Request); }
  void reply(const HttpResponse &Response) override;
  void abandon() override;
  void onPeerGone(std::function<void()> Action) override {
    PeerGone = std::move(Action);
  }

  void lose() {
    Connection = nullptr;
    std::function<void()> Action = std::move(PeerGone);
    PeerGone = nullptr;
    if (Action && !Answer)
      Action();
  }

  PipelineConnection *Connection;
  HttpRequest Request;
  std::optional<HttpResponse> Answer;
  std::function<void()> PeerGone;
  bool Head;
  bool KeepAlive;
};

} // namespace

class PipelineConnection final : public StreamOwner {
public:
  PipelineConnection(PipelineServer &Server, evutil_socket_t Socket)
      : Server(Server), Stream(Server.TheLoop, *this, Socket),
        Parser(std::make_unique<MessageParser>(MessageKind::Request,
                                               Server.Limits.Parser)),
        Peer(Stream.peerHost()), LastActive(Server.TheLoop.now()) {}

  ~PipelineConnection() override { loseAll(); }

  void received(std::string_view Bytes) override {
    LastActive = Server.TheLoop.now();
    if (Closing || Server.ReadingStopped)
      return;
    Pending.append(Bytes);
    parse();
  }

  void ended(StreamEnd) override {
    loseAll();
    Server.forget(this);
  }

  void flushed() override {
    if (Closing)
      LastActive = Server.TheLoop.now();
  }

  // Writes the answers that are due.
  void flushAnswers() {
    while (!Queue.empty() && Queue.front()->Answer) {
      std::shared_ptr<PipelinedExchange> Done = Queue.front();
      Queue.pop_front();
      Done->Connection = nullptr;
      bool Last = Queue.empty() && (Server.ReadingStopped ||
                                    (!Parser->midMessage() && Pending.empty()));
      bool Close = !Done->KeepAlive || (Server.Draining && Last);
      Stream.write(serialize(*Done->Answer, Done->Head, Close));
      if (Close) {
        close();
        return;
      }
    }
    LastActive = Server.TheLoop.now();
    if (Paused && Queue.size() < MaxPipelined) {
      Paused = false;
      Stream.resumeReading();
      parse();
    }
  }

  void cut() {
    loseAll();
    Server.TheLoop.defer(
        [Owner = &Server, Self = this] { Owner->forget(Self); });
  }

  const std::string &peerHost() const { return Peer; }

  bool idle() const {
    return Queue.empty() && !Parser->midMessage() && Pending.empty() &&
           Stream.backlog() == 0;
  }

  size_t unfinished() const {
    return Queue.size() + (Stream.backlog() > 0 ? 1 : 0);
  }

  // Enforces the timeouts; says whether the connection is to be dropped.
  bool expired(TimePoint Now) {
    if (Closing)
      return Now - LastActive > LingerLimit && Stream.backlog() == 0;
    if (Parser->midMessage() && !Parser->headersDone() &&
        Now - MessageBegun > Server.Limits.HeaderTimeout) {
      rejectRest(408, "the headers did not come in time\n");
      return false;
    }
    return idle() && Now - LastActive > Server.Limits.IdleTimeout;
  }

  // What was read in part, and what follows, is dropped.
  void stopReading() {
    Pending.clear();
    if (Queue.empty() && !Closing)
      close();
  }

  void close() {
    Closing = true;
    Stream.resumeReading();
    loseAll();
    Pending.clear();
    Stream.finish();
  }

private:
  void parse() {
    std::shared_ptr<bool> Still = Alive;
    while (!Pending.empty() && !Closing && !Paused) {
      bool Begins = !Parser->midMessage();
      size_t Used = Parser->feed(Pending);
      Pending.erase(0, Used);
      if (Begins)
        MessageBegun = Server.TheLoop.now();
      if (Parser->error() != ParseError::None) {
        rejectRest(statusOf(Parser->error()), "the request is malformed\n");
        return;
      }
      if (!Parser->ready())
        return;
      deliver(Parser->take());
      if (!*Still)
        return;
    }
  }

  void deliver(ParsedMessage Message) {
    auto Received = std::make_shared<PipelinedExchange>(
        this, std::move(Message.Request), Message.KeepAlive);
    Queue.push_back(Received);
    if (!Message.KeepAlive || Queue.size() >= MaxPipelined) {
      Paused = true;
      Stream.pauseReading();
      // The client's close must still be noticed.
      if (!Message.KeepAlive)
        Stream.resumeReading();
    }
    Server.Handler(Received);
  }

  // Answers what cannot be read on this connection and closes it behind the
  // answers that are still due.
  void rejectRest(int Status, std::string_view Why) {
    logWarning("request_rejected", {{"status", Status}, {"cause", Why}});
    auto Rejected = std::make_shared<PipelinedExchange>(this, HttpRequest(),
                                                        /*KeepAlive=*/false);
    Pending.clear();
    Paused = true;
    Queue.push_back(Rejected);
    Rejected->reply({Status, {}, std::string(Why)});
  }

  void loseAll() {
    std::deque<std::shared_ptr<PipelinedExchange>> Lost;
    Lost.swap(Queue);
    for (const std::shared_ptr<PipelinedExchange> &Each : Lost)
      Each->lose();
  }

  PipelineServer &Server;
  ByteStream Stream;
  std::unique_ptr<MessageParser> Parser;
  std::string Peer;
  std::string Pending; // Bytes not yet parsed.
  std::deque<std::shared_ptr<PipelinedExchange>> Queue;
  TimePoint LastActive;
  TimePoint MessageBegun;
  bool Paused = false;
  bool Closing = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);

  friend class PipelineServer;
};

void PipelinedExchange::reply(const HttpResponse &Response) {
  if (Answer)
    return;
  Answer = Response;
  PeerGone = nullptr;
  if (Connection != nullptr)
    Connection->flushAnswers();
}

std::string PipelinedExchange::peerHost() const {
  return Connection == nullptr ? "" : Connection->peerHost();
}

void PipelinedExchange::abandon() {
  if (Answer || Connection == nullptr)
    return;
  Answer.emplace();
  Connection->cut();
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

void PipelineServer::forget(PipelineConnection *Ended) {
  auto Found = Connections.find(Ended);
  if (Found == Connections.end())
    return;
  std::unique_ptr<PipelineConnection> Kept = std::move(Found->second);
  Connections.erase(Found);
  *Kept->Alive = false;
  // Destroyed later, since it may be running now.
  std::shared_ptr<PipelineConnection> Shared = std::move(Kept);
  TheLoop.defer([Shared] {});
}

void PipelineServer::sweep(TimePoint Now) {
  std::vector<PipelineConnection *> Ended;
  for (auto &[Each, Owned] : Connections)
    if (Each->expired(Now))
      Ended.push_back(Each);
  for (PipelineConnection *Each : Ended)
    forget(Each);
}

void PipelineServer::drain(bool CloseIdle) {
  Draining = true;
  if (!CloseIdle)
    return;
  for (auto &[Each, Owned] : Connections)
    if (!Each->Closing && Each->idle())
      Each->close();
}

void PipelineServer::stopReading() {
  Draining = ReadingStopped = true;
  for (auto &[Each, Owned] : Connections)
    Each->stopReading();
}

size_t PipelineServer::unfinished() const {
  size_t Count = 0;
  for (const auto &[Each, Owned] : Connections)
    Count += Each->unfinished();
  return Count;
}

} // namespace cyclamenwind
