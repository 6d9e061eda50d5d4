//===- httpclient.cpp - Sending HTTP requests with h2o --------------------===//
//
// One Call object for each running call. h2o calls back into it; the call ends
// exactly once, by its response, a failure, the timeout or cancel().
//
//===----------------------------------------------------------------------===//

#include "framework/net/httpclient.h"

#include <arpa/inet.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <map>
#include <netinet/tcp.h>
#include <unordered_map>

namespace geraniumbay {

namespace {

/// h2o's own timeout, far beyond every call's: calls end by their own timers.
constexpr std::uint64_t H2oIoTimeoutMillis = 3'600'000;
/// Unanswered keep-alive probes after which a connection is lost.
constexpr int KeepAliveProbes = 3;

std::string formatHead(const Endpoint &To, const HttpRequest &Request) {
  std::string Head = Request.Method + " " + Request.Path;
  if (!Request.Query.empty())
    Head += "?" + Request.Query;
  Head += " HTTP/1.1\r\nhost: " + To.text() + "\r\n";
  for (const HttpHeader &Header : Request.Headers)
    Head += Header.Name + ": " + Header.Value + "\r\n";
  Head += "content-length: " + std::to_string(Request.Body.size()) + "\r\n\r\n";
  return Head;
}

void detectSilence(int Descriptor, Duration SilenceTimeout) {
  int On = 1;
  auto Millis = static_cast<int>(SilenceTimeout / std::chrono::milliseconds(1));
  int Seconds = std::max(1, Millis / 1000 / (KeepAliveProbes + 1));
  int Probes = KeepAliveProbes;
  setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  setsockopt(Descriptor, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  setsockopt(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &Seconds, sizeof(Seconds));
  setsockopt(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &Seconds, sizeof(Seconds));
  setsockopt(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof(Probes));
  setsockopt(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &Millis,
             sizeof(Millis));
}

} // namespace

struct HttpClient::Impl {
  struct Call;

  Impl(EventLoop &Loop, HttpClientLimits Limits);
  ~Impl();

  h2o_socketpool_t &poolOf(const Endpoint &To);
  void finish(Call &Ended, Outcome<HttpResponse> Result);
  void onTimeout(HttpCallId Id);

  // h2o's callbacks, in the order in which a call goes through them.
  static h2o_http1client_head_cb
  onConnect(h2o_http1client_t *Client, const char *Failure,
            h2o_iovec_t **Buffers, std::size_t *BufferCount, int *MethodIsHead);
  static h2o_http1client_body_cb
  onHead(h2o_http1client_t *Client, const char *Failure, int MinorVersion,
         int Status, h2o_iovec_t Message, h2o_header_t *Headers,
         std::size_t HeaderCount, int RawHeaderLength);
  static int onBody(h2o_http1client_t *Client, const char *Failure);

  EventLoop &Loop;
  HttpClientLimits Limits;
  h2o_timeout_t IoTimeout{};
  h2o_http1client_ctx_t Context{};
  std::uint64_t LastId = 0;
  std::map<Endpoint, std::unique_ptr<h2o_socketpool_t>> Pools;
  // Invariant: holds exactly the calls whose callback has not run.
  std::unordered_map<HttpCallId, std::unique_ptr<Call>> Calls;
};

/// One running call.
struct HttpClient::Impl::Call {
  Impl *Owner = nullptr;
  HttpCallId Id;
  Callback Done;
  TimerId Timer;
  std::string Head;
  std::string Body;
  h2o_iovec_t Buffers[2] = {};
  /// Null before h2o has one and after it has freed it.
  h2o_http1client_t *Client = nullptr;
  /// Set when the request was handed to the connection.
  bool Written = false;
  /// Set while HttpClient::call runs: the result must wait until it returns.
  bool Starting = true;
  HttpResponse Response;
};

HttpClient::Impl::Impl(EventLoop &Loop, HttpClientLimits Limits)
    : Loop(Loop), Limits(Limits) {
  h2o_timeout_init(Loop.handle(), &IoTimeout, H2oIoTimeoutMillis);
  Context.loop = Loop.handle();
  Context.io_timeout = &IoTimeout;
}

HttpClient::Impl::~Impl() {
  for (auto &Entry : Calls) {
    Loop.timers().cancel(Entry.second->Timer);
    if (Entry.second->Client != nullptr)
      h2o_http1client_cancel(Entry.second->Client);
  }
}

h2o_socketpool_t &HttpClient::Impl::poolOf(const Endpoint &To) {
  auto &Pool = Pools[To];
  if (Pool)
    return *Pool;
  Pool = std::make_unique<h2o_socketpool_t>();
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_port = htons(To.Port);
  inet_pton(AF_INET, To.Address.c_str(), &Name.sin_addr);
  h2o_socketpool_init_by_address(Pool.get(),
                                 reinterpret_cast<sockaddr *>(&Name),
                                 sizeof(Name), 0, Limits.MaxIdlePerPeer);
  h2o_socketpool_set_timeout(
      Pool.get(), Loop.handle(),
      static_cast<std::uint64_t>(Limits.IdleTimeout /
                                 std::chrono::milliseconds(1)));
  return *Pool;
}

void HttpClient::Impl::finish(Call &Ended, Outcome<HttpResponse> Result) {
  Loop.timers().cancel(Ended.Timer);
  if (Ended.Starting) {
    Ended.Client = nullptr;
    Ended.Timer = Loop.timers().after(
        Duration::zero(), [this, Id = Ended.Id, Result = std::move(Result)] {
          auto Found = Calls.find(Id);
          if (Found != Calls.end())
            finish(*Found->second, Result);
        });
    return;
  }
  auto Found = Calls.find(Ended.Id);
  std::unique_ptr<Call> Kept = std::move(Found->second);
  Calls.erase(Found);
  Kept->Done(std::move(Result));
}

void HttpClient::Impl::onTimeout(HttpCallId Id) {
  Call &Late = *Calls.at(Id);
  if (Late.Client != nullptr)
    h2o_http1client_cancel(Late.Client);
  Late.Client = nullptr;
  if (Late.Written)
    finish(Late, Error{ErrorCode::Timeout, "no response in time"});
  else
    finish(Late, Error{ErrorCode::Refused, "no connection in time"});
}

h2o_http1client_head_cb HttpClient::Impl::onConnect(h2o_http1client_t *Client,
                                                    const char *Failure,
                                                    h2o_iovec_t **Buffers,
                                                    std::size_t *BufferCount,
                                                    int *MethodIsHead) {
  auto &Running = *static_cast<Call *>(Client->data);
  if (Failure != nullptr) {
    Running.Client = nullptr;
    Running.Owner->finish(Running, Error{ErrorCode::Refused, Failure});
    return nullptr;
  }
  // A kept connection is handed over while the call starts; it has its options.
  if (!Running.Starting)
    detectSilence(h2o_socket_get_fd(Client->sock),
                  Running.Owner->Limits.SilenceTimeout);
  Running.Written = true;
  Running.Buffers[0] = h2o_iovec_init(Running.Head.data(), Running.Head.size());
  Running.Buffers[1] = h2o_iovec_init(Running.Body.data(), Running.Body.size());
  *Buffers = Running.Buffers;
  *BufferCount = Running.Body.empty() ? 1 : 2;
  *MethodIsHead = 0;
  return onHead;
}

h2o_http1client_body_cb
HttpClient::Impl::onHead(h2o_http1client_t *Client, const char *Failure,
                         int /*MinorVersion*/, int Status,
                         h2o_iovec_t /*Message*/, h2o_header_t *Headers,
                         std::size_t HeaderCount, int /*RawHeaderLength*/) {
  auto &Running = *static_cast<Call *>(Client->data);
  if (Failure != nullptr && Failure != h2o_http1client_error_is_eos) {
    Running.Client = nullptr;
    Running.Owner->finish(Running, Error{ErrorCode::Unavailable, Failure});
    return nullptr;
  }
  Running.Response.Status = Status;
  for (std::size_t I = 0; I < HeaderCount; ++I)
    Running.Response.Headers.push_back(
        {std::string(Headers[I].name->base, Headers[I].name->len),
         std::string(Headers[I].value.base, Headers[I].value.len)});
  if (Failure != nullptr) {
    Running.Client = nullptr;
    Running.Owner->finish(Running, std::move(Running.Response));
    return nullptr;
  }
  return onBody;
}

int HttpClient::Impl::onBody(h2o_http1client_t *Client, const char *Failure) {
  auto &Running = *static_cast<Call *>(Client->data);
  if (Failure != nullptr && Failure != h2o_http1client_error_is_eos) {
    Running.Client = nullptr;
    Running.Owner->finish(Running, Error{ErrorCode::Unavailable, Failure});
    return -1;
  }
  h2o_buffer_t *Input = Client->sock->input;
  if (Running.Response.Body.size() + Input->size >
      Running.Owner->Limits.MaxBodyBytes) {
    Running.Client = nullptr;
    Running.Owner->finish(Running,
                          Error{ErrorCode::Corrupt, "response body too large"});
    return -1;
  }
  Running.Response.Body.append(Input->bytes, Input->size);
  h2o_buffer_consume(&Client->sock->input, Input->size);
  if (Failure != nullptr) {
    Running.Client = nullptr;
    Running.Owner->finish(Running, std::move(Running.Response));
  }
  return 0;
}

HttpClient::HttpClient(EventLoop &Loop, HttpClientLimits Limits)
    : Impl_(std::make_unique<Impl>(Loop, Limits)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::call(const Endpoint &To, HttpRequest Request,
                            Duration Timeout, Callback Done) {
  HttpCallId Id(++Impl_->LastId);
  auto &Slot = Impl_->Calls[Id];
  Slot = std::make_unique<Impl::Call>();
  Impl::Call &Running = *Slot;
  Running.Owner = Impl_.get();
  Running.Id = Id;
  Running.Done = std::move(Done);
  Running.Head = formatHead(To, Request);
  Running.Body = std::move(Request.Body);
  Running.Timer =
      Impl_->Loop.timers().after(Timeout, [this, Id] { Impl_->onTimeout(Id); });
  h2o_http1client_connect_with_pool(&Running.Client, &Running, &Impl_->Context,
                                    &Impl_->poolOf(To), Impl::onConnect);
  Running.Starting = false;
  return Id;
}

void HttpClient::cancel(HttpCallId Id) {
  auto Found = Impl_->Calls.find(Id);
  if (Found == Impl_->Calls.end())
    return;
  Impl_->Loop.timers().cancel(Found->second->Timer);
  if (Found->second->Client != nullptr)
    h2o_http1client_cancel(Found->second->Client);
  Impl_->Calls.erase(Found);
}

} // namespace geraniumbay
