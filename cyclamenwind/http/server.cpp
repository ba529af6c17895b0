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

constexpr std::array<MethodName, 6> Methods = {{{EVHTTP_REQ_GET, "GET"},
                                                {EVHTTP_REQ_POST, "POST"},
                                                {EVHTTP_REQ_HEAD, "HEAD"},
                                                {EVHTTP_REQ_PUT, "PUT"},
                                                {EVHTTP_REQ_DELETE, "DELETE"},
                                                {EVHTTP_REQ_PATCH, "PATCH"}}};

ev_uint16_t allowedMethods() {
  int Mask = 0;
  for (const MethodName &Each : Methods)
    Mask |= Each.Type;
  return static_cast<ev_uint16_t>(Mask);
}

const char *methodOf(evhttp_request *Raw) {
  for (const MethodName &Each : Methods)
    if (Each.Type == evhttp_request_get_command(Raw))
      return Each.Name;
  return "";
}

std::string bodyOf(evhttp_request *Raw) {
  evbuffer *Input = evhttp_request_get_input_buffer(Raw);
  std::string Body(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Body.data(), Body.size());
  return Body;
}

HttpRequest requestOf(evhttp_request *Raw) {
  HttpRequest Request;
  Request.Method = methodOf(Raw);
  Request.Target = evhttp_request_get_uri(Raw);
  evkeyvalq *Headers = evhttp_request_get_input_headers(Raw);
  for (evkeyval *Each = Headers->tqh_first; Each != nullptr;
       Each = Each->next.tqe_next)
    Request.Headers.push_back({Each->key, Each->value});
  Request.Body = bodyOf(Raw);
  return Request;
}

bool hasAmbiguousLength(const HttpRequest &Request) {
  int Lengths = 0;
  for (const HttpHeader &Each : Request.Headers) {
    std::string_view Name = Each.Name;
    HttpHeaders One = {{std::string(Name), ""}};
    if (findHeader(One, "Content-Length") != nullptr ||
        findHeader(One, "Transfer-Encoding") != nullptr)
      ++Lengths;
  }
  return Lengths > 1;
}

// An evhttp request. Destroying it unanswered answers 500.
class HttpExchange final : public Exchange {
public:
  HttpExchange(evhttp_request *Raw, Loop &TheLoop)
      : TheLoop(TheLoop), Raw(Raw), Request(requestOf(Raw)) {}
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

private:
  void forgetPeer();
  static void peerClosed(int, short, void *Self);

  Loop &TheLoop;
  evhttp_request *Raw;
  HttpRequest Request;
  event *CloseEvent = nullptr;
  std::function<void()> PeerGone;
};

void HttpExchange::reply(const HttpResponse &Response) {
  if (Raw == nullptr)
    return;
  forgetPeer();
  evkeyvalq *Headers = evhttp_request_get_output_headers(Raw);
  for (const HttpHeader &Each : Response.Headers)
    evhttp_add_header(Headers, Each.Name.c_str(), Each.Value.c_str());
  evbuffer *Body = evhttp_request_get_output_buffer(Raw);
  evbuffer_add(Body, Response.Body.data(), Response.Body.size());
  evhttp_send_reply(Raw, Response.Status, nullptr, nullptr);
  Raw = nullptr;
}

void HttpExchange::abandon() {
  if (Raw == nullptr)
    return;
  forgetPeer();
  evhttp_connection *Connection = evhttp_request_get_connection(Raw);
  if (Connection == nullptr) {
    reply({});
    return;
  }
  Raw = nullptr;
  // Deferred, since evhttp may be using the connection now.
  TheLoop.defer([Connection] { evhttp_connection_free(Connection); });
}

void HttpExchange::forgetPeer() {
  if (CloseEvent != nullptr)
    event_free(CloseEvent);
  CloseEvent = nullptr;
  PeerGone = nullptr;
}

void HttpExchange::onPeerGone(std::function<void()> Action) {
  evhttp_connection *Connection =
      Raw == nullptr ? nullptr : evhttp_request_get_connection(Raw);
  if (Connection == nullptr)
    return;
  PeerGone = std::move(Action);
  evutil_socket_t Descriptor =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  CloseEvent = event_new(TheLoop.base(), Descriptor, EV_CLOSED,
                         &HttpExchange::peerClosed, this);
  event_add(CloseEvent, nullptr);
}

void HttpExchange::peerClosed(int, short, void *Self) {
  auto *Exchange = static_cast<HttpExchange *>(Self);
  std::function<void()> Action = std::move(Exchange->PeerGone);
  if (Action)
    Action();
}

} // namespace

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

HttpServer::~HttpServer() { evhttp_free(Http); }

void HttpServer::stopAccepting() {
  if (Socket != nullptr)
    evhttp_del_accept_socket(Http, Socket);
  Socket = nullptr;
}

void HttpServer::handle(evhttp_request *Raw, void *Self) {
  auto *Server = static_cast<HttpServer *>(Self);
  ExchangePtr Received = std::make_shared<HttpExchange>(Raw, Server->TheLoop);
  if (hasAmbiguousLength(Received->request())) {
    Received->reply({400,
                     {{"Connection", "close"}},
                     "the length of the body is ambiguous\n"});
    return;
  }
  Server->Handler(std::move(Received));
}

} // namespace cyclamenwind
