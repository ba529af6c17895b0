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

// How long sent segments may stay unacknowledged.
constexpr Duration UnacknowledgedTimeout = 2s;
// Keep-alive probes on a connection without traffic.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAlivePeriodSeconds = 1;
constexpr int KeepAliveProbes = 2;
// Limit of a response's head. evhttp has none by default.
constexpr size_t MaxHeadBytes = 64 * 1024;
// Longer than any call's deadline, so that the deadline always ends a request
// first.
constexpr int EvhttpTimeoutSeconds = 3600;

constexpr std::array<EnumName<HttpClientErrorCode>, 5> CodeNames = {{
    {HttpClientErrorCode::ConnectFailed, "connect_failed"},
    {HttpClientErrorCode::ConnectionLost, "connection_lost"},
    {HttpClientErrorCode::TimedOut, "timed_out"},
    {HttpClientErrorCode::BadResponse, "bad_response"},
    {HttpClientErrorCode::ResponseTooLarge, "response_too_large"},
}};

evhttp_cmd_type toEvhttpCommand(const std::string &Method) {
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

// Makes the kernel close the connection when the peer's kernel stops
// acknowledging.
void enableDeadPeerDetection(evutil_socket_t Socket) {
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAlivePeriodSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(milliseconds(UnacknowledgedTimeout)));
}

// Whether an idle connection is open and has no unread bytes.
bool isReusable(evhttp_connection *Connection) {
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  if (evbuffer_get_length(bufferevent_get_input(Stream)) != 0)
    return false;
  char Byte = 0;
  evutil_socket_t Socket = bufferevent_getfd(Stream);
  return ::recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool allowsBody(const HttpResponse &Response, bool IsHead) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return !IsHead && Response.Status != NoContent &&
         Response.Status != NotModified;
}

// Whether Response is final and the end of its body can be verified.
bool isComplete(const HttpResponse &Response, bool IsHead) {
  constexpr int FirstFinalStatus = 200;
  if (Response.Status < FirstFinalStatus)
    return false;
  if (!allowsBody(Response, IsHead))
    return true;
  size_t ContentLengths = countHeaders(Response.Headers, "Content-Length");
  size_t TransferEncodings =
      countHeaders(Response.Headers, "Transfer-Encoding");
  if (ContentLengths + TransferEncodings != 1)
    return false;
  const std::string *Length = findHeader(Response.Headers, "Content-Length");
  if (Length == nullptr)
    return true;
  size_t Bytes = 0;
  const char *Last = Length->data() + Length->size();
  auto [Rest, Error] = std::from_chars(Length->data(), Last, Bytes);
  return Error == std::errc() && Rest == Last && Bytes == Response.Body.size();
}

HttpResponse toResponse(evhttp_request *Raw) {
  HttpResponse Response;
  Response.Status = evhttp_request_get_response_code(Raw);
  evkeyvalq *Headers = evhttp_request_get_input_headers(Raw);
  for (evkeyval *Header = Headers->tqh_first; Header != nullptr;
       Header = Header->next.tqe_next)
    Response.Headers.push_back({Header->key, Header->value});
  evbuffer *Input = evhttp_request_get_input_buffer(Raw);
  Response.Body.resize(evbuffer_get_length(Input));
  evbuffer_remove(Input, Response.Body.data(), Response.Body.size());
  return Response;
}

} // namespace

std::string_view nameOf(HttpClientErrorCode Code) {
  return nameIn(CodeNames, Code);
}

// One request on one connection. evhttp may access a connection after the
// request's callback, so connections are freed in a deferred action.
class HttpClient::Call final : public HttpCall {
public:
  Call(HttpClient &Client, const Address &To, HttpCallback OnDone)
      : Client(Client), ClientAlive(Client.Alive), To(To),
        OnDone(std::move(OnDone)), Connection(Client.acquire(To)) {
    Output =
        bufferevent_get_output(evhttp_connection_get_bufferevent(Connection));
    OutputCallback = evbuffer_add_cb(Output, &Call::outputChanged, this);
  }

  ~Call() override {
    if (Connection != nullptr && *ClientAlive)
      releaseConnection(/*Reuse=*/false);
  }

  void start(const HttpRequest &Request, Duration Timeout) {
    IsHead = Request.Method == "HEAD";
    Raw = evhttp_request_new(&Call::completed, this);
    evhttp_request_set_error_cb(Raw, &Call::failed);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Raw);
    for (const HttpHeader &Header : Request.Headers)
      evhttp_add_header(Headers, Header.Name.c_str(), Header.Value.c_str());
    if (findHeader(Request.Headers, "Host") == nullptr)
      evhttp_add_header(Headers, "Host", To.text().c_str());
    evbuffer_add(evhttp_request_get_output_buffer(Raw), Request.Body.data(),
                 Request.Body.size());
    Deadline = Client.TheLoop.after(Timeout, [this] {
      finish(HttpClientError{HttpClientErrorCode::TimedOut, SentAny},
             /*Reuse=*/false);
    });
    InMakeRequest = true;
    int Status =
        evhttp_make_request(Connection, Raw, toEvhttpCommand(Request.Method),
                            Request.Target.c_str());
    InMakeRequest = false;
    if (Status == 0 && !FailedInMakeRequest)
      return;
    Raw = nullptr;
    Deadline = Client.TheLoop.after(Duration::zero(),
                                    [this] { finish(failure(), false); });
  }

  bool sent() const override { return SentAny; }

private:
  static void outputChanged(evbuffer *, const evbuffer_cb_info *Info,
                            void *Self) {
    auto *This = static_cast<Call *>(Self);
    if (Info->n_deleted > 0)
      This->SentAny = true;
    if (Info->n_added == 0 || This->DetectionEnabled)
      return;
    This->DetectionEnabled = true;
    enableDeadPeerDetection(
        bufferevent_getfd(evhttp_connection_get_bufferevent(This->Connection)));
  }

  static void failed(evhttp_request_error Error, void *Self) {
    auto *This = static_cast<Call *>(Self);
    if (Error == EVREQ_HTTP_DATA_TOO_LONG)
      This->ParseFailure = HttpClientErrorCode::ResponseTooLarge;
    if (Error == EVREQ_HTTP_INVALID_HEADER)
      This->ParseFailure = HttpClientErrorCode::BadResponse;
  }

  static void completed(evhttp_request *Raw, void *Self) {
    static_cast<Call *>(Self)->complete(Raw);
  }

  void complete(evhttp_request *Completed) {
    Raw = nullptr;
    if (InMakeRequest) {
      FailedInMakeRequest = true;
      return;
    }
    if (Completed == nullptr ||
        evhttp_request_get_response_code(Completed) == 0) {
      finish(failure(), /*Reuse=*/false);
      return;
    }
    HttpResponse Response = toResponse(Completed);
    if (!isComplete(Response, IsHead)) {
      finish(HttpClientError{HttpClientErrorCode::BadResponse, SentAny},
             /*Reuse=*/false);
      return;
    }
    finish(std::move(Response), /*Reuse=*/isReusable(Connection));
  }

  HttpClientError failure() const {
    if (ParseFailure)
      return {*ParseFailure, SentAny};
    if (SentAny)
      return {HttpClientErrorCode::ConnectionLost, true};
    return {HttpClientErrorCode::ConnectFailed, false};
  }

  // OnDone may destroy this call, so it is moved out and called last.
  void finish(Result<HttpResponse, HttpClientError> Outcome, bool Reuse) {
    TimerHandle Timer = std::move(Deadline);
    releaseConnection(Reuse);
    HttpCallback Callback = std::move(OnDone);
    Callback(std::move(Outcome));
  }

  void releaseConnection(bool Reuse) {
    evbuffer_remove_cb_entry(Output, OutputCallback);
    if (Raw != nullptr)
      evhttp_cancel_request(Raw);
    Raw = nullptr;
    evhttp_connection *Used = Connection;
    Connection = nullptr;
    if (Reuse)
      Client.release(To, Used);
    else
      Client.discard(To, Used);
  }

  HttpClient &Client;
  std::shared_ptr<bool> ClientAlive;
  Address To;
  HttpCallback OnDone;
  evhttp_connection *Connection;
  evhttp_request *Raw = nullptr;
  evbuffer *Output;
  evbuffer_cb_entry *OutputCallback;
  TimerHandle Deadline;
  bool SentAny = false;
  std::optional<HttpClientErrorCode> ParseFailure;
  bool IsHead = false;
  bool DetectionEnabled = false;
  bool InMakeRequest = false;
  bool FailedInMakeRequest = false;
};

HttpClient::HttpClient(Loop &TheLoop, const HttpClientOptions &Options)
    : TheLoop(TheLoop), Options(Options), Alive(std::make_shared<bool>(true)) {}

HttpClient::~HttpClient() {
  *Alive = false;
  for (auto &[To, Idling] : Pools)
    for (evhttp_connection *Connection : Idling.Idle)
      evhttp_connection_free(Connection);
}

std::unique_ptr<HttpCall> HttpClient::send(const Address &To,
                                           const HttpRequest &Request,
                                           Duration Timeout,
                                           HttpCallback OnDone) {
  auto NewCall = std::make_unique<Call>(*this, To, std::move(OnDone));
  NewCall->start(Request, Timeout);
  return NewCall;
}

size_t HttpClient::connections(const Address &To) const {
  auto Found = Pools.find(To);
  return Found == Pools.end() ? 0 : Found->second.OpenConnections;
}

evhttp_connection *HttpClient::acquire(const Address &To) {
  Pool &ThePool = Pools[To];
  while (!ThePool.Idle.empty()) {
    evhttp_connection *Connection = ThePool.Idle.back();
    ThePool.Idle.pop_back();
    if (isReusable(Connection))
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
  evhttp_connection_set_max_headers_size(Connection,
                                         static_cast<ev_ssize_t>(MaxHeadBytes));
  evhttp_connection_set_max_body_size(
      Connection, static_cast<ev_ssize_t>(Options.MaxBodyBytes));
  // evhttp keeps a line with the size of a chunk until it ends. It also keeps a
  // body or a chunk with a length until it is complete.
  bufferevent_setwatermark(evhttp_connection_get_bufferevent(Connection),
                           EV_READ, 0, Options.MaxBodyBytes + MaxHeadBytes);
  ++Pools[To].OpenConnections;
  return Connection;
}

void HttpClient::release(const Address &To, evhttp_connection *Connection) {
  Pool &ThePool = Pools[To];
  if (ThePool.Idle.size() >= Options.MaxIdlePerAddress) {
    discard(To, Connection);
    return;
  }
  ThePool.Idle.push_back(Connection);
}

void HttpClient::discard(const Address &To, evhttp_connection *Connection) {
  --Pools[To].OpenConnections;
  // The action owns the connection, so it is freed even if the loop ends before
  // the action runs.
  std::shared_ptr<evhttp_connection> Owned(Connection, &evhttp_connection_free);
  TheLoop.defer([Owned = std::move(Owned)]() mutable { Owned.reset(); });
}

} // namespace cyclamenwind
