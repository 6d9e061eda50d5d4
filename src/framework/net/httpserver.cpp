//===- httpserver.cpp - Serving HTTP with h2o -----------------------------===//
//
// Binds h2o's requests to IHttpExchange. h2o 2.2 does not read from a
// connection while its request waits for an answer, so a timer looks for
// clients that have gone.
//
//===----------------------------------------------------------------------===//

#include "framework/net/httpserver.h"

#include "framework/net/internal/listener.h"
#include "framework/net/internal/routetable.h"

#include <h2o.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>

namespace geraniumbay {

namespace {

/// How often waiting requests are checked for clients that have gone.
/// A burst of connections must not wait for as many turns, nor hold up the
/// requests on those that are open.
constexpr int MaxAcceptsInTurn = 16;
constexpr Duration GoneCheckInterval = std::chrono::milliseconds(100);
/// Status of an answer that the client did not wait for; it is never read.
constexpr int ClientClosedRequest = 499;
/// Ends the h2o host's name table: any authority is served.
constexpr std::uint16_t AnyPort = 65535;

std::string toString(h2o_iovec_t Slice) { return {Slice.base, Slice.len}; }

HttpRequest readRequest(h2o_req_t *Req) {
  HttpRequest Request;
  Request.Method = toString(Req->method);
  std::size_t PathEnd = std::min(Req->query_at, Req->path.len);
  Request.Path.assign(Req->path.base, PathEnd);
  if (PathEnd < Req->path.len)
    Request.Query.assign(Req->path.base + PathEnd + 1,
                         Req->path.len - PathEnd - 1);
  // h2o takes the host out of the headers.
  Request.Headers.push_back({"host", toString(Req->authority)});
  for (std::size_t I = 0; I < Req->headers.size; ++I) {
    const h2o_header_t &Header = Req->headers.entries[I];
    Request.Headers.push_back({toString(*Header.name), toString(Header.value)});
  }
  if (Req->entity.base != nullptr)
    Request.Body = toString(Req->entity);
  return Request;
}

} // namespace

/// The exchange of one h2o request; Req_ is null once h2o has freed it.
class H2oExchange : public IHttpExchange {
public:
  /// \p Closing outlives the exchange: whether connections close after their
  /// answers.
  H2oExchange(h2o_req_t *Req, std::set<H2oExchange *> &Waiting,
              const bool &Closing)
      : Req_(Req), Request_(readRequest(Req)), Waiting_(Waiting),
        Closing_(Closing) {
    Waiting_.insert(this);
  }
  ~H2oExchange() override { Waiting_.erase(this); }

  const HttpRequest &request() const override { return Request_; }

  void reply(HttpResponse Response) override {
    if (Req_ == nullptr)
      return;
    h2o_req_t *Req = Req_;
    end();
    // What waits for the client to go may hold this exchange in turn.
    auto Released = std::exchange(Gone_, nullptr);
    Req->res.status = Response.Status;
    Req->res.reason = "";
    if (Closing_)
      Req->http1_is_persistent = 0;
    for (const HttpHeader &Header : Response.Headers)
      addHeader(Req, Header);
    h2o_send_inline(Req, Response.Body.data(), Response.Body.size());
  }

  void onGone(std::function<void()> Gone) override { Gone_ = std::move(Gone); }

  /// Called when h2o frees the request.
  void freed() {
    if (Req_ == nullptr)
      return;
    end();
    if (auto Gone = std::move(Gone_))
      Gone();
  }

  /// Ends a request whose client has gone: an answer that nobody reads makes
  /// h2o close the connection and free the request.
  void clientGone() {
    h2o_req_t *Req = Req_;
    freed();
    Req->http1_is_persistent = 0;
    Req->res.status = ClientClosedRequest;
    Req->res.reason = "";
    h2o_send_inline(Req, "", 0);
  }

  int descriptor() const {
    h2o_socket_t *Socket = Req_->conn->callbacks->get_socket(Req_->conn);
    return h2o_socket_get_fd(Socket);
  }

private:
  static void addHeader(h2o_req_t *Req, const HttpHeader &Header) {
    h2o_iovec_t Name =
        h2o_strdup(&Req->pool, Header.Name.data(), Header.Name.size());
    h2o_iovec_t Value =
        h2o_strdup(&Req->pool, Header.Value.data(), Header.Value.size());
    h2o_strtolower(Name.base, Name.len);
    h2o_add_header_by_str(&Req->pool, &Req->res.headers, Name.base, Name.len, 1,
                          nullptr, Value.base, Value.len);
  }

  void end() {
    Req_ = nullptr;
    Waiting_.erase(this);
  }

  h2o_req_t *Req_;
  HttpRequest Request_;
  std::function<void()> Gone_;
  std::set<H2oExchange *> &Waiting_;
  const bool &Closing_;
};

/// h2o's structures. The handler is found again from its C part.
struct HttpServer::Impl {
  struct RouteHandler {
    h2o_handler_t Super;
    Impl *Owner;
  };
  /// Lives in the h2o request's pool; keeps the exchange until h2o frees it.
  struct ExchangeRef {
    std::shared_ptr<H2oExchange> Exchange;
  };

  Impl(EventLoop &Loop, HttpServerLimits Limits);
  ~Impl();

  static int onRequest(h2o_handler_t *Self, h2o_req_t *Req);
  static void onRequestFreed(void *Ref);
  void take(h2o_socket_t *Socket);
  static void onAccept(h2o_socket_t *Listening, const char *Failure);
  static void onConnectionClosed(void *Owner);
  void serve(std::shared_ptr<H2oExchange> Exchange);
  void checkGone();

  EventLoop &Loop;
  HttpServerLimits Limits;
  RouteTable Routes;
  // H2oExchange objects that wait for an answer. It outlives all of them,
  // also those that a handler still holds when the server is gone.
  std::shared_ptr<std::set<H2oExchange *>> Waiting =
      std::make_shared<std::set<H2oExchange *>>();
  std::shared_ptr<bool> Closing = std::make_shared<bool>(false);
  std::size_t Connections = 0;
  h2o_globalconf_t Config{};
  h2o_context_t Context{};
  h2o_accept_ctx_t Accept{};
  h2o_socket_t *Listening = nullptr;
  TimerId GoneTimer;
};

HttpServer::Impl::Impl(EventLoop &Loop, HttpServerLimits Limits)
    : Loop(Loop), Limits(Limits) {
  h2o_config_init(&Config);
  Config.server_name = h2o_iovec_init(H2O_STRLIT("geraniumbay"));
  Config.max_request_entity_size = Limits.MaxBodyBytes;
  Config.http1.req_timeout = static_cast<std::uint64_t>(
      Limits.RequestTimeout / std::chrono::milliseconds(1));
  Config.http1.upgrade_to_http2 = 0;
  h2o_hostconf_t *Host = h2o_config_register_host(
      &Config, h2o_iovec_init(H2O_STRLIT("default")), AnyPort);
  h2o_pathconf_t *Path = h2o_config_register_path(Host, "/", 0);
  auto *Handler = reinterpret_cast<RouteHandler *>(
      h2o_create_handler(Path, sizeof(RouteHandler)));
  Handler->Super.on_req = onRequest;
  Handler->Owner = this;
  h2o_context_init(&Context, Loop.handle(), &Config);
  Accept.ctx = &Context;
  Accept.hosts = Config.hosts;
  GoneTimer = Loop.timers().after(GoneCheckInterval, [this] { checkGone(); });
}

HttpServer::Impl::~Impl() {
  Loop.timers().cancel(GoneTimer);
  if (Listening != nullptr)
    h2o_socket_close(Listening);
}

int HttpServer::Impl::onRequest(h2o_handler_t *Self, h2o_req_t *Req) {
  Impl *Owner = reinterpret_cast<RouteHandler *>(Self)->Owner;
  // The set must outlive the exchange, so the exchange's deleter holds it.
  auto Waiting = Owner->Waiting;
  auto Closing = Owner->Closing;
  std::shared_ptr<H2oExchange> Exchange(
      new H2oExchange(Req, *Waiting, *Closing),
      [Waiting, Closing](H2oExchange *Dead) { delete Dead; });
  void *Memory =
      h2o_mem_alloc_shared(&Req->pool, sizeof(ExchangeRef), onRequestFreed);
  new (Memory) ExchangeRef{Exchange};
  Owner->serve(std::move(Exchange));
  return 0;
}

void HttpServer::Impl::onRequestFreed(void *Ref) {
  auto *Kept = static_cast<ExchangeRef *>(Ref);
  Kept->Exchange->freed();
  Kept->~ExchangeRef();
}

void HttpServer::Impl::serve(std::shared_ptr<H2oExchange> Exchange) {
  const HttpRequest &Request = Exchange->request();
  RouteMatch Match = Routes.find(Request.Method, Request.Path);
  if (Match.Handle != nullptr) {
    (*Match.Handle)(std::move(Exchange));
    return;
  }
  HttpResponse Response;
  Response.Status = Match.PathKnown ? 405 : 404;
  Response.Body = Match.PathKnown ? "method not allowed\n" : "not found\n";
  Exchange->reply(std::move(Response));
}

void HttpServer::Impl::onAccept(h2o_socket_t *Listening,
                                const char * /*Failure*/) {
  auto *Owner = static_cast<Impl *>(Listening->data);
  for (int Count = 0; Count < MaxAcceptsInTurn; ++Count) {
    h2o_socket_t *Socket = h2o_evloop_socket_accept(Listening);
    if (Socket == nullptr)
      return;
    Owner->take(Socket);
  }
}

void HttpServer::Impl::take(h2o_socket_t *Socket) {
  if (Connections >= Limits.MaxConnections) {
    h2o_socket_close(Socket);
    return;
  }
  int On = 1;
  int Descriptor = h2o_socket_get_fd(Socket);
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  setsockopt(Descriptor, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  ++Connections;
  Socket->on_close.cb = onConnectionClosed;
  Socket->on_close.data = this;
  h2o_accept(&Accept, Socket);
}

void HttpServer::Impl::onConnectionClosed(void *Owner) {
  --static_cast<Impl *>(Owner)->Connections;
}

void HttpServer::Impl::checkGone() {
  GoneTimer = Loop.timers().after(GoneCheckInterval, [this] { checkGone(); });
  std::vector<H2oExchange *> Exchanges(Waiting->begin(), Waiting->end());
  std::vector<pollfd> Polled;
  Polled.reserve(Exchanges.size());
  for (H2oExchange *Exchange : Exchanges)
    Polled.push_back({Exchange->descriptor(), POLLRDHUP, 0});
  if (Polled.empty() || poll(Polled.data(), Polled.size(), 0) <= 0)
    return;
  for (std::size_t I = 0; I < Polled.size(); ++I) {
    // An earlier callback may have answered or freed this one.
    if (Polled[I].revents != 0 && Waiting->count(Exchanges[I]) != 0)
      Exchanges[I]->clientGone();
  }
}

HttpServer::HttpServer(EventLoop &Loop, HttpServerLimits Limits)
    : Impl_(std::make_unique<Impl>(Loop, Limits)) {}

HttpServer::~HttpServer() = default;

void HttpServer::route(const std::string &Method, const std::string &Path,
                       Handler Handle) {
  Impl_->Routes.add(Method, Path, std::move(Handle));
}

RetVal<Endpoint> HttpServer::listen(const Endpoint &Address) {
  BOOST_LEAF_AUTO(Opened, openListener(Address));
  Impl_->Listening = h2o_evloop_socket_create(
      Impl_->Loop.handle(), Opened.Descriptor, H2O_SOCKET_FLAG_DONT_READ);
  Impl_->Listening->data = Impl_.get();
  h2o_socket_read_start(Impl_->Listening, Impl::onAccept);
  return Opened.Address;
}

void HttpServer::closeAfterAnswers() { *Impl_->Closing = true; }

void HttpServer::stopAccepting() {
  if (Impl_->Listening != nullptr)
    h2o_socket_close(Impl_->Listening);
  Impl_->Listening = nullptr;
  h2o_context_request_shutdown(&Impl_->Context);
}

std::size_t HttpServer::unanswered() const { return Impl_->Waiting->size(); }

} // namespace geraniumbay
