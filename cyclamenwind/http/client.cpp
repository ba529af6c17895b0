#include "cyclamenwind/http/client.h"

#include "cyclamenwind/base/names.h"

#include <charconv>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace cyclamenwind {
namespace {

// How long segments may stay unacknowledged.
constexpr Duration SilenceLimit = 2s;
// Probes on a connection without traffic.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAlivePeriodSeconds = 1;
constexpr int KeepAliveProbes = 2;
// Above any call's deadline, which ends a request first.
constexpr int EvhttpTimeoutSeconds = 3600;

constexpr std::array<EnumName<HttpClientErrorCode>, 5> CodeNames = {{
    {HttpClientErrorCode::ConnectFailed, "connect_failed"},
    {HttpClientErrorCode::ConnectionLost, "connection_lost"},
    {HttpClientErrorCode::TimedOut, "timed_out"},
    {HttpClientErrorCode::BadResponse, "bad_response"},
    {HttpClientErrorCode::ResponseTooLarge, "response_too_large"},
}};

evhttp_cmd_type commandOf(const std::string &Method) {
  if (Method == "POST")
    return EVHTTP_REQ_POST;
  if (Method == "PUT")
    return EVHTTP_REQ_PUT;
  if (Method == "DELETE")
    return EVHTTP_REQ_DELETE;
  if (Method == "HEAD")
    return EVHTTP_REQ_HEAD;
  if (Method == "PATCH")
    return EVHTTP_REQ_PATCH;
  return EVHTTP_REQ_GET;
}

void setOption(evutil_socket_t Socket, int Level, int Name, int Value) {
  setsockopt(Socket, Level, Name, &Value, sizeof Value);
}

// Has the kernel end the connection when the other end's kernel is silent.
void watchForSilence(evutil_socket_t Socket) {
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAlivePeriodSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(milliseconds(SilenceLimit)));
}

// Whether an idle connection is open and has nothing to read.
bool isQuiet(evhttp_connection *Connection) {
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  if (evbuffer_get_length(bufferevent_get_input(Stream)) != 0)
    return false;
  char Octet = 0;
  evutil_socket_t Socket = bufferevent_getfd(Stream);
  return ::recv(Socket, &Octet, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool allowsBody(const HttpResponse &Response, bool Head) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return !Head && Response.Status != NoContent &&
         Response.Status != NotModified;
}

// Whether the end of Response's body is certain.
bool isWhole(const HttpResponse &Response, bool Head) {
  constexpr int FirstFinalStatus = 200;
  if (Response.Status < FirstFinalStatus)
    return false;
  if (!allowsBody(Response, Head))
    return true;
  size_t Lengths = countHeaders(Response.Headers, "Content-Length");
  size_t Encodings = countHeaders(Response.Headers, "Transfer-Encoding");
  if (Lengths + Encodings != 1)
    return false;
  const std::string *Length = findHeader(Response.Headers, "Content-Length");
  if (Length == nullptr)
    return true;
  size_t Bytes = 0;
  const char *Last = Length->data() + Length->size();
  auto [Rest, Error] = std::from_chars(Length->data(), Last, Bytes);
  return Error == std::errc() && Rest == Last && Bytes == Response.Body.size();
}

HttpResponse responseOf(evhttp_request *Raw) {
  HttpResponse Response;
  Response.Status = evhttp_request_get_response_code(Raw);
  evkeyvalq *Headers = evhttp_request_get_input_headers(Raw);
  for (evkeyval *Each = Headers->tqh_first; Each != nullptr;
       Each = Each->next.tqe_next)
    Response.Headers.push_back({Each->key, Each->value});
  evbuffer *Input = evhttp_request_get_input_buffer(Raw);
  Response.Body.resize(evbuffer_get_length(Input));
  evbuffer_remove(Input, Response.Body.data(), Response.Body.size());
  return Response;
}

} // namespace

std::string_view nameOf(HttpClientErrorCode Code) {
  return nameIn(CodeNames, Code);
}

// One request on one connection. evhttp may touch a connection after the
// request's callback, so connections are freed from a deferred action.
class HttpClient::Call final : public HttpCall {
public:
  Call(HttpClient &Client, const Address &To, HttpCallback OnDone)
      : Client(Client), ClientAlive(Client.Alive), To(To),
        OnDone(std::move(OnDone)), Connection(Client.claim(To)) {
    Output =
        bufferevent_get_output(evhttp_connection_get_bufferevent(Connection));
    Watch = evbuffer_add_cb(Output, &Call::outputChanged, this);
  }

  ~Call() override {
    if (Connection != nullptr && *ClientAlive)
      finishConnection(/*Reuse=*/false);
  }

  void begin(const HttpRequest &Request, Duration Timeout) {
    Head = Request.Method == "HEAD";
    Raw = evhttp_request_new(&Call::completed, this);
    evhttp_request_set_error_cb(Raw, &Call::failed);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Raw);
    for (const HttpHeader &Each : Request.Headers)
      evhttp_add_header(Headers, Each.Name.c_str(), Each.Value.c_str());
    if (findHeader(Request.Headers, "Host") == nullptr)
      evhttp_add_header(Headers, "Host", To.text().c_str());
    evbuffer_add(evhttp_request_get_output_buffer(Raw), Request.Body.data(),
                 Request.Body.size());
    Deadline = Client.TheLoop.after(Timeout, [this] {
      finish(HttpClientError{HttpClientErrorCode::TimedOut, FirstByteOut},
             /*Reuse=*/false);
    });
    Starting = true;
    int Status = evhttp_make_request(Connection, Raw, commandOf(Request.Method),
                                     Request.Target.c_str());
    Starting = false;
    if (Status == 0 && !FailedAtStart)
      return;
    Raw = nullptr;
    Deadline = Client.TheLoop.after(Duration::zero(),
                                    [this] { finish(failure(), false); });
  }

  bool sent() const override { return FirstByteOut; }

private:
  static void outputChanged(evbuffer *, const evbuffer_cb_info *Info,
                            void *Self) {
    auto *This = static_cast<Call *>(Self);
    if (Info->n_deleted > 0)
      This->FirstByteOut = true;
    if (Info->n_added == 0 || This->Watching)
      return;
    This->Watching = true;
    watchForSilence(
        bufferevent_getfd(evhttp_connection_get_bufferevent(This->Connection)));
  }

  static void failed(evhttp_request_error Error, void *Self) {
    auto *This = static_cast<Call *>(Self);
    if (Error == EVREQ_HTTP_DATA_TOO_LONG)
      This->Rejected = HttpClientErrorCode::ResponseTooLarge;
    if (Error == EVREQ_HTTP_INVALID_HEADER)
      This->Rejected = HttpClientErrorCode::BadResponse;
  }

  static void completed(evhttp_request *Raw, void *Self) {
    static_cast<Call *>(Self)->complete(Raw);
  }

  void complete(evhttp_request *Finished) {
    Raw = nullptr;
    if (Starting) {
      FailedAtStart = true;
      return;
    }
    if (Finished == nullptr ||
        evhttp_request_get_response_code(Finished) == 0) {
      finish(failure(), /*Reuse=*/false);
      return;
    }
    HttpResponse Response = responseOf(Finished);
    if (!isWhole(Response, Head)) {
      finish(HttpClientError{HttpClientErrorCode::BadResponse, FirstByteOut},
             /*Reuse=*/false);
      return;
    }
    finish(std::move(Response), /*Reuse=*/isQuiet(Connection));
  }

  HttpClientError failure() const {
    if (Rejected)
      return {*Rejected, FirstByteOut};
    if (FirstByteOut)
      return {HttpClientErrorCode::ConnectionLost, true};
    return {HttpClientErrorCode::ConnectFailed, false};
  }

  // Done may destroy this call, so it is moved out and called last.
  void finish(Result<HttpResponse, HttpClientError> Outcome, bool Reuse) {
    TimerHandle Timer = std::move(Deadline);
    finishConnection(Reuse);
    HttpCallback Callback = std::move(OnDone);
    Callback(std::move(Outcome));
  }

  void finishConnection(bool Reuse) {
    evbuffer_remove_cb_entry(Output, Watch);
    if (Raw != nullptr)
      evhttp_cancel_request(Raw);
    Raw = nullptr;
    evhttp_connection *Finished = Connection;
    Connection = nullptr;
    if (Reuse)
      Client.release(To, Finished);
    else
      Client.discard(To, Finished);
  }

  HttpClient &Client;
  std::shared_ptr<bool> ClientAlive;
  Address To;
  HttpCallback OnDone;
  evhttp_connection *Connection;
  evhttp_request *Raw = nullptr;
  evbuffer *Output;
  evbuffer_cb_entry *Watch;
  TimerHandle Deadline;
  bool FirstByteOut = false;
  std::optional<HttpClientErrorCode> Rejected;
  bool Head = false;
  bool Watching = false;
  bool Starting = false;
  bool FailedAtStart = false;
};

HttpClient::HttpClient(Loop &TheLoop, const HttpClientOptions &Options)
    : TheLoop(TheLoop), Options(Options), Alive(std::make_shared<bool>(true)) {}

HttpClient::~HttpClient() {
  *Alive = false;
  for (auto &[To, Each] : Pools)
    for (evhttp_connection *Connection : Each.Idle)
      evhttp_connection_free(Connection);
}

std::unique_ptr<HttpCall> HttpClient::send(const Address &To,
                                           const HttpRequest &Request,
                                           Duration Timeout,
                                           HttpCallback OnDone) {
  auto Result = std::make_unique<Call>(*this, To, std::move(OnDone));
  Result->begin(Request, Timeout);
  return Result;
}

size_t HttpClient::connections(const Address &To) const {
  auto Found = Pools.find(To);
  return Found == Pools.end() ? 0 : Found->second.Open;
}

evhttp_connection *HttpClient::claim(const Address &To) {
  Pool &ThePool = Pools[To];
  while (!ThePool.Idle.empty()) {
    evhttp_connection *Connection = ThePool.Idle.back();
    ThePool.Idle.pop_back();
    if (isQuiet(Connection))
      return Connection;
    discard(To, Connection);
  }
  return open(To);
}

evhttp_connection *HttpClient::open(const Address &To) {
  evhttp_connection *Connection = evhttp_connection_base_new(
      TheLoop.base(), nullptr, To.Host.c_str(), To.Port);
  evhttp_connection_set_retries(Connection, 0);
  evhttp_connection_set_timeout(Connection, EvhttpTimeoutSeconds);
  evhttp_connection_set_max_body_size(
      Connection, static_cast<ev_ssize_t>(Options.MaxBodyBytes));
  ++Pools[To].Open;
  return Connection;
}

void HttpClient::release(const Address &To, evhttp_connection *Connection) {
  Pool &ThePool = Pools[To];
  if (ThePool.Idle.size() >= Options.MaxIdle) {
    discard(To, Connection);
    return;
  }
  ThePool.Idle.push_back(Connection);
}

void HttpClient::discard(const Address &To, evhttp_connection *Connection) {
  --Pools[To].Open;
  // Freed with the action, also if the loop ends before it runs.
  std::shared_ptr<evhttp_connection> Owned(Connection, &evhttp_connection_free);
  TheLoop.defer([Owned = std::move(Owned)]() mutable { Owned.reset(); });
}

} // namespace cyclamenwind
