#include "cyclamenwind/http/client.h"

#include "cyclamenwind/base/names.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<HttpClientErrorCode>, 4> CodeNames = {{
    {HttpClientErrorCode::ConnectFailed, "connect_failed"},
    {HttpClientErrorCode::ConnectionLost, "connection_lost"},
    {HttpClientErrorCode::TimedOut, "timed_out"},
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
  Call(HttpClient &Client, const Address &To, HttpDone Done)
      : Client(Client), ClientAlive(Client.Alive), To(To),
        Done(std::move(Done)), Connection(Client.claim(To)) {
    Output =
        bufferevent_get_output(evhttp_connection_get_bufferevent(Connection));
    Watch = evbuffer_add_cb(Output, &Call::outputChanged, this);
  }

  ~Call() override {
    if (Connection != nullptr && *ClientAlive)
      finishConnection(/*Reuse=*/false);
  }

  void begin(const HttpRequest &Request, Duration Timeout) {
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
    if (Info->n_deleted > 0)
      static_cast<Call *>(Self)->FirstByteOut = true;
  }

  static void failed(evhttp_request_error Error, void *Self) {
    static_cast<Call *>(Self)->TooLarge = Error == EVREQ_HTTP_DATA_TOO_LONG;
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
    const std::string *Close = findHeader(Response.Headers, "Connection");
    bool Reuse = Close == nullptr || *Close != "close";
    finish(std::move(Response), Reuse);
  }

  HttpClientError failure() const {
    if (TooLarge)
      return {HttpClientErrorCode::ResponseTooLarge, FirstByteOut};
    if (FirstByteOut)
      return {HttpClientErrorCode::ConnectionLost, true};
    return {HttpClientErrorCode::ConnectFailed, false};
  }

  // Done may destroy this call, so it is moved out and called last.
  void finish(Result<HttpResponse, HttpClientError> Outcome, bool Reuse) {
    TimerHandle Timer = std::move(Deadline);
    finishConnection(Reuse);
    HttpDone Callback = std::move(Done);
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
  HttpDone Done;
  evhttp_connection *Connection;
  evhttp_request *Raw = nullptr;
  evbuffer *Output;
  evbuffer_cb_entry *Watch;
  TimerHandle Deadline;
  bool FirstByteOut = false;
  bool TooLarge = false;
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
                                           Duration Timeout, HttpDone Done) {
  auto Result = std::make_unique<Call>(*this, To, std::move(Done));
  Result->begin(Request, Timeout);
  return Result;
}

size_t HttpClient::connections(const Address &To) const {
  auto Found = Pools.find(To);
  return Found == Pools.end() ? 0 : Found->second.Open;
}

evhttp_connection *HttpClient::claim(const Address &To) {
  Pool &ThePool = Pools[To];
  if (!ThePool.Idle.empty()) {
    evhttp_connection *Connection = ThePool.Idle.back();
    ThePool.Idle.pop_back();
    return Connection;
  }
  evhttp_connection *Connection = evhttp_connection_base_new(
      TheLoop.base(), nullptr, To.Host.c_str(), To.Port);
  evhttp_connection_set_retries(Connection, 0);
  evhttp_connection_set_max_body_size(
      Connection, static_cast<ev_ssize_t>(Options.MaxBodyBytes));
  ++ThePool.Open;
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
