#include "cyclamenwind/http/server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace cyclamenwind {
namespace {

constexpr int IdleTimeoutSeconds = 120;

struct MethodName {
  evhttp_cmd_type Type;
  const char *Name;
};

constexpr std::array<MethodName, 6> AllowedMethods = {
    {{EVHTTP_REQ_GET, "GET"},
     {EVHTTP_REQ_POST, "POST"},
     {EVHTTP_REQ_HEAD, "HEAD"},
     {EVHTTP_REQ_PUT, "PUT"},
     {EVHTTP_REQ_DELETE, "DELETE"},
     {EVHTTP_REQ_PATCH, "PATCH"}}};

ev_uint16_t allowedMethods() {
  int Mask = 0;
  for (const MethodName &Method : AllowedMethods)
    Mask |= Method.Type;
  return static_cast<ev_uint16_t>(Mask);
}

const char *toMethodName(evhttp_request *Raw) {
  for (const MethodName &Method : AllowedMethods)
    if (Method.Type == evhttp_request_get_command(Raw))
      return Method.Name;
  return "";
}

std::string takeBody(evhttp_request *Raw) {
  evbuffer *Input = evhttp_request_get_input_buffer(Raw);
  std::string Body(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Body.data(), Body.size());
  return Body;
}

HttpRequest toRequest(evhttp_request *Raw) {
  HttpRequest Request;
  Request.Method = toMethodName(Raw);
  Request.Target = evhttp_request_get_uri(Raw);
  evkeyvalq *Headers = evhttp_request_get_input_headers(Raw);
  for (evkeyval *Header = Headers->tqh_first; Header != nullptr;
       Header = Header->next.tqe_next)
    Request.Headers.push_back({Header->key, Header->value});
  Request.Body = takeBody(Raw);
  return Request;
}

bool isNumber(std::string_view Text) {
  return !Text.empty() &&
         Text.find_first_not_of("0123456789") == std::string_view::npos;
}

bool hasAmbiguousLength(const HttpRequest &Request) {
  size_t ContentLengths = countHeaders(Request.Headers, "Content-Length");
  size_t TransferEncodings = countHeaders(Request.Headers, "Transfer-Encoding");
  if (ContentLengths + TransferEncodings == 0)
    return false;
  if (ContentLengths + TransferEncodings > 1)
    return true;
  bool TakesBody = Request.Method != "GET" && Request.Method != "HEAD";
  if (TransferEncodings == 1)
    return !TakesBody ||
           evutil_ascii_strcasecmp(
               findHeader(Request.Headers, "Transfer-Encoding")->c_str(),
               "chunked") != 0;
  const std::string &Length = *findHeader(Request.Headers, "Content-Length");
  return !isNumber(Length) ||
         (!TakesBody && Length.find_first_not_of('0') != std::string::npos);
}

} // namespace

// An evhttp request. The destructor replies 500 if no reply was sent.
class HttpExchange final : public Exchange {
public:
  HttpExchange(evhttp_request *Raw, HttpServer &Server)
      : Server(&Server), Raw(Raw), Request(toRequest(Raw)),
        IsHead(Request.Method == "HEAD") {
    Server.OpenExchanges.insert(this);
  }
  ~HttpExchange() override {
    if (Raw != nullptr)
      reply({500, {}, "no answer was given\n"});
  }
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  const HttpRequest &request() const override { return Request; }
  HttpRequest takeRequest() override { return std::move(Request); }
  void reply(const HttpResponse &Response) override;
  void abandon() override;
  void onPeerGone(std::function<void()> Action) override;

  // Called when the server is being destroyed; evhttp then frees the request.
  void detach();

private:
  void cancelPeerWatch();
  void trackFlush();
  static void peerClosed(int, short, void *Self);
  static void connectionFreed(evhttp_connection *, void *Self);

  HttpServer *Server; // Valid while Raw is not null.
  evhttp_request *Raw;
  HttpRequest Request;
  bool IsHead;
  event *CloseEvent = nullptr;
  std::function<void()> OnPeerGone;
  std::shared_ptr<bool> ActionWanted; // Whether OnPeerGone may still be called.
};

void HttpExchange::reply(const HttpResponse &Response) {
  if (Raw == nullptr)
    return;
  cancelPeerWatch();
  evkeyvalq *Headers = evhttp_request_get_output_headers(Raw);
  for (const HttpHeader &Header : Response.Headers)
    evhttp_add_header(Headers, Header.Name.c_str(), Header.Value.c_str());
  // evhttp would send a body even if the method forbids it.
  if (!IsHead)
    evbuffer_add(evhttp_request_get_output_buffer(Raw), Response.Body.data(),
                 Response.Body.size());
  trackFlush();
  evhttp_request *Replied = Raw;
  Raw = nullptr;
  Server->OpenExchanges.erase(this);
  evhttp_send_reply(Replied, Response.Status, nullptr, nullptr);
}

// Counts the response until evhttp has written it or freed the connection.
void HttpExchange::trackFlush() {
  evhttp_connection *Connection = evhttp_request_get_connection(Raw);
  if (Connection == nullptr)
    return;
  ++Server->UnsentResponses;
  evhttp_request_set_on_complete_cb(
      Raw,
      [](evhttp_request *Written, void *Counter) {
        --*static_cast<size_t *>(Counter);
        evhttp_connection_set_closecb(evhttp_request_get_connection(Written),
                                      nullptr, nullptr);
      },
      &Server->UnsentResponses);
  evhttp_connection_set_closecb(
      Connection,
      [](evhttp_connection *, void *Counter) {
        --*static_cast<size_t *>(Counter);
      },
      &Server->UnsentResponses);
}

void HttpExchange::abandon() {
  if (Raw == nullptr)
    return;
  cancelPeerWatch();
  evhttp_connection *Connection = evhttp_request_get_connection(Raw);
  if (Connection == nullptr) {
    reply({});
    return;
  }
  Raw = nullptr;
  Server->OpenExchanges.erase(this);
  // Deferred, since evhttp may be using the connection.
  Server->TheLoop.defer([Connection] { evhttp_connection_free(Connection); });
}

void HttpExchange::detach() {
  cancelPeerWatch();
  Raw = nullptr;
}

void HttpExchange::cancelPeerWatch() {
  if (CloseEvent == nullptr)
    return;
  event_free(CloseEvent);
  CloseEvent = nullptr;
  OnPeerGone = nullptr;
  *ActionWanted = false;
  if (evhttp_connection *Connection = evhttp_request_get_connection(Raw))
    evhttp_connection_set_closecb(Connection, nullptr, nullptr);
}

void HttpExchange::onPeerGone(std::function<void()> Action) {
  evhttp_connection *Connection =
      Raw == nullptr ? nullptr : evhttp_request_get_connection(Raw);
  if (Connection == nullptr)
    return;
  OnPeerGone = std::move(Action);
  ActionWanted = std::make_shared<bool>(true);
  evutil_socket_t Descriptor =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  CloseEvent = event_new(Server->TheLoop.base(), Descriptor, EV_CLOSED,
                         &HttpExchange::peerClosed, this);
  event_add(CloseEvent, nullptr);
  evhttp_connection_set_closecb(Connection, &HttpExchange::connectionFreed,
                                this);
}

void HttpExchange::peerClosed(int, short, void *Self) {
  auto *Exchange = static_cast<HttpExchange *>(Self);
  std::function<void()> Action = std::move(Exchange->OnPeerGone);
  if (Action)
    Action();
}

// Called when evhttp itself frees the connection and its descriptor. The action
// is deferred, since it may reply while evhttp is still using the connection.
void HttpExchange::connectionFreed(evhttp_connection *, void *Self) {
  auto *Exchange = static_cast<HttpExchange *>(Self);
  event_free(Exchange->CloseEvent);
  Exchange->CloseEvent = nullptr;
  Exchange->Server->TheLoop.defer([Wanted = Exchange->ActionWanted,
                                   Action = std::move(Exchange->OnPeerGone)] {
    if (*Wanted && Action)
      Action();
  });
}

Result<std::unique_ptr<HttpServer>, HttpServerError>
HttpServer::listen(Loop &TheLoop, const Address &Listen,
                   const HttpLimits &Limits, ExchangeHandler Handler) {
  std::unique_ptr<HttpServer> Server(
      new HttpServer(TheLoop, std::move(Handler)));
  evhttp_set_max_headers_size(Server->Http,
                              static_cast<ev_ssize_t>(Limits.MaxHeaderBytes));
  evhttp_set_max_body_size(Server->Http,
                           static_cast<ev_ssize_t>(Limits.MaxBodyBytes));
  Server->Socket = evhttp_bind_socket_with_handle(
      Server->Http, Listen.Host.c_str(), Listen.Port);
  if (Server->Socket == nullptr)
    return HttpServerError::AddressInUse;
  return Server;
}

HttpServer::HttpServer(Loop &TheLoop, ExchangeHandler Handler)
    : TheLoop(TheLoop), Handler(std::move(Handler)),
      Http(evhttp_new(TheLoop.base())) {
  evhttp_set_allowed_methods(Http, allowedMethods());
  evhttp_set_timeout(Http, IdleTimeoutSeconds);
  evhttp_set_default_content_type(Http, nullptr);
  evhttp_set_gencb(Http, &HttpServer::handle, this);
}

HttpServer::~HttpServer() {
  for (HttpExchange *Exchange : OpenExchanges)
    Exchange->detach();
  evhttp_free(Http);
}

void HttpServer::stopAccepting() {
  if (Socket != nullptr)
    evhttp_del_accept_socket(Http, Socket);
  Socket = nullptr;
}

void HttpServer::handle(evhttp_request *Raw, void *Self) {
  auto *Server = static_cast<HttpServer *>(Self);
  ExchangePtr Received = std::make_shared<HttpExchange>(Raw, *Server);
  if (hasAmbiguousLength(Received->request())) {
    Received->reply({400,
                     {{"Connection", "close"}},
                     "the length of the request is ambiguous\n"});
    return;
  }
  Server->Handler(std::move(Received));
}

} // namespace cyclamenwind
