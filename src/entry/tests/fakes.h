//===- fakes.h - The entry's neighbours, faked ------------------*- C++ -*-===//
//
// Fakes of pools, ledger, workers and callers at the entry's interfaces. A test
// decides when each of them answers, and what.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_TESTS_FAKES_H
#define GERANIUMBAY_ENTRY_TESTS_FAKES_H

#include "dispatch/ipoolclient.h"
#include "entry/internal/iclaims.h"
#include "framework/net/ihttpclient.h"
#include "framework/net/ihttpserver.h"

#include <map>
#include <optional>

namespace geraniumbay::entry {

/// Pools that grant and reject when the test says so.
class FakePools : public dispatch::IPoolClient {
public:
  struct Asked {
    dispatch::PoolRequest Request;
    LeaseCallback OnLease;
    RejectCallback OnReject;
  };

  void acquire(dispatch::PoolRequest Request, LeaseCallback OnLease,
               RejectCallback OnReject) override {
    All.push_back(
        {std::move(Request), std::move(OnLease), std::move(OnReject)});
  }
  void cancel(const dispatch::RequestId & /*Request*/) override { ++Cancels; }
  void release(const dispatch::Lease & /*Held*/, dispatch::LeaseOutcome Outcome,
               Duration /*Ran*/) override {
    Released.push_back(Outcome);
  }

  /// Grants every task of the request \p Index.
  void grantAll(std::size_t Index) {
    Asked Chosen = All.at(Index);
    for (std::uint32_t I = 0; I < Chosen.Request.Tasks; ++I) {
      dispatch::Lease Held;
      Held.Id = dispatch::LeaseId(++LastLease);
      Held.Address = {"127.0.0.1", 1};
      Chosen.OnLease(Held);
    }
  }

  std::vector<Asked> All;
  std::vector<dispatch::LeaseOutcome> Released;
  int Cancels = 0;
  std::uint64_t LastLease = 0;
};

/// A ledger that answers when the test says so.
class FakeClaims : public IClaims {
public:
  void claim(const Submission & /*Request*/, ClaimCallback Done) override {
    Claims.push_back(std::move(Done));
  }
  void record(const Submission & /*Request*/, const Result &Answer,
              Time /*GiveUpAt*/, RecordCallback Done) override {
    Recorded.push_back(Answer);
    Records.push_back(std::move(Done));
  }
  void release(const Submission & /*Request*/) override { ++Releases; }

  std::vector<ClaimCallback> Claims;
  std::vector<Result> Recorded;
  std::vector<RecordCallback> Records;
  int Releases = 0;
};

/// Workers that answer when the test says so.
class FakeWorkers : public IHttpClient {
public:
  struct Call {
    HttpRequest Request;
    Callback Done;
  };

  HttpCallId call(const Endpoint & /*To*/, HttpRequest Request,
                  Duration /*Timeout*/, Callback Done) override {
    HttpCallId Id(++Last);
    Open[Id] = {std::move(Request), std::move(Done)};
    return Id;
  }
  void cancel(HttpCallId Id) override { Open.erase(Id); }

  /// Answers every task that was sent with "done:" and its payload.
  void answerAll() {
    auto Calls = std::exchange(Open, {});
    for (auto &Entry : Calls) {
      std::string Id = Entry.second.Request.Path.substr(
          Entry.second.Request.Path.rfind('/') + 1);
      ++Starts[Id];
      Entry.second.Done(HttpResponse{
          200, {{"x-task-id", Id}}, "done:" + Entry.second.Request.Body});
    }
  }

  std::map<HttpCallId, Call> Open;
  std::map<std::string, int> Starts;
  std::uint64_t Last = 0;
};

/// A caller's request and the answer it got.
class FakeExchange : public IHttpExchange {
public:
  explicit FakeExchange(HttpRequest Request) : Request_(std::move(Request)) {}

  const HttpRequest &request() const override { return Request_; }
  void reply(HttpResponse Response) override {
    if (!Response_)
      Response_ = std::move(Response);
  }
  void onGone(std::function<void()> Gone) override { Gone_ = std::move(Gone); }

  const std::optional<HttpResponse> &response() const { return Response_; }
  /// The caller closes its connection.
  void leave() {
    if (!Response_ && Gone_)
      Gone_();
  }

private:
  HttpRequest Request_;
  std::optional<HttpResponse> Response_;
  std::function<void()> Gone_;
};

/// Hands requests of the test to the routed handlers.
class FakeServer : public IHttpServer {
public:
  void route(const std::string &Method, const std::string &Path,
             Handler Handle) override {
    Routes[Method + " " + Path] = std::move(Handle);
  }

  std::shared_ptr<FakeExchange> send(const std::string &Method,
                                     const std::string &Path,
                                     const std::string &Body,
                                     const std::string &Key) {
    HttpRequest Request;
    Request.Method = Method;
    Request.Path = Path;
    Request.Body = Body;
    if (!Key.empty())
      Request.Headers.push_back({"Idempotency-Key", Key});
    auto Exchange = std::make_shared<FakeExchange>(Request);
    Routes.at(Method + " " + Path)(Exchange);
    return Exchange;
  }

  std::map<std::string, Handler> Routes;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_TESTS_FAKES_H
