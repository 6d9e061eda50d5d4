//===- httptest.cpp - Tests of the HTTP server and client -----------------===//

#include "framework/net/internal/listener.h"
#include "framework/tests/nettestutil.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace geraniumbay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration LongTimeout = seconds(10);

class HttpTest : public testing::Test {
protected:
  Outcome<HttpResponse> call(const std::string &Path, Duration Timeout) {
    std::optional<Outcome<HttpResponse>> Result;
    HttpRequest Request;
    Request.Path = Path;
    Request.Body = "question";
    Net_.Client.call(Net_.Address, Request, Timeout,
                     [&](const Outcome<HttpResponse> &Got) { Result = Got; });
    EXPECT_FALSE(Result.has_value());
    Net_.runUntil([&] { return Result.has_value(); });
    return *Result;
  }

  NetFixture Net_;
};

TEST_F(HttpTest, CarriesHeadersQueryAndBodyBothWays) {
  HttpRequest Seen;
  Net_.Server.route("GET", "/echo",
                    [&](const std::shared_ptr<IHttpExchange> &Ex) {
                      Seen = Ex->request();
                      Ex->reply({201, {{"X-Answer", "yes"}}, "answer"});
                    });
  auto Result = call("/echo", LongTimeout);
  ASSERT_TRUE(Result.ok());
  EXPECT_EQ(Result->Status, 201);
  EXPECT_EQ(Result->Body, "answer");
  EXPECT_EQ(*findHeader(Result->Headers, "x-answer"), "yes");
  EXPECT_EQ(Seen.Body, "question");
}

TEST_F(HttpTest, AnswersLater) {
  std::shared_ptr<IHttpExchange> Kept;
  Net_.Server.route("GET", "/later",
                    [&](const std::shared_ptr<IHttpExchange> &Ex) {
                      Kept = Ex;
                      Net_.Loop.timers().after(milliseconds(20), [&] {
                        Kept->reply({200, {}, "x"});
                      });
                    });
  auto Result = call("/later", LongTimeout);
  ASSERT_TRUE(Result.ok());
  EXPECT_EQ(Result->Body, "x");
}

TEST(HttpTimerTest, ACallOfATimerHearsItsAnswerAtOnce) {
  // Another thread answers, so that nothing else wakes the caller's loop.
  NetFixture Far;
  Far.Server.route("GET", "/", [](const std::shared_ptr<IHttpExchange> &Ex) {
    Ex->reply({200, {}, "x"});
  });
  std::atomic<bool> Ends = false;
  std::thread Serving([&] {
    while (!Ends)
      Far.Loop.turn(milliseconds(5));
  });
  NetFixture Near;
  HttpRequest Request;
  Request.Path = "/";
  std::optional<Duration> Took;
  auto Call = [&] {
    Near.Client.call(
        Far.Address, Request, LongTimeout,
        [&, Sent = Near.Clock.now()](const Outcome<HttpResponse> &Got) {
          if (Got.ok())
            Took = Near.Clock.now() - Sent;
        });
  };
  // All but the first go over the connection of the first.
  std::vector<Duration> All;
  for (int Calls = 0; Calls < 10; ++Calls) {
    Took.reset();
    Near.Loop.timers().after(Duration::zero(), Call);
    while (!Took)
      Near.Loop.turn(seconds(1));
    All.push_back(*Took);
  }
  // Heard at the loop's next timer only, most take tens of milliseconds.
  std::sort(All.begin(), All.end());
  EXPECT_LT(All[All.size() / 2], milliseconds(20));
  Ends = true;
  Serving.join();
}

TEST_F(HttpTest, AStoppedLoopStillSendsWhatIsLeftWhenItIsTurned) {
  Net_.Server.route("GET", "/late",
                    [](const std::shared_ptr<IHttpExchange> &Ex) {
                      Ex->reply({200, {}, "x"});
                    });
  Net_.Loop.timers().after(Duration::zero(), [&] { Net_.Loop.stop(); });
  Net_.Loop.run();
  auto Result = call("/late", LongTimeout);
  ASSERT_TRUE(Result.ok());
  EXPECT_EQ(Result->Body, "x");
}

TEST_F(HttpTest, TellsUnknownPathFromUnknownMethod) {
  Net_.Server.route("POST", "/a",
                    [](const std::shared_ptr<IHttpExchange> &) {});
  EXPECT_EQ(call("/a", LongTimeout)->Status, 405);
  EXPECT_EQ(call("/b", LongTimeout)->Status, 404);
}

TEST_F(HttpTest, AConnectionRefusedProvesThatNothingWasSent) {
  auto Opened = *attempt([] { return openListener({"127.0.0.1", 0}); });
  close(Opened.Descriptor);
  Net_.Address = Opened.Address;
  auto Result = call("/", LongTimeout);
  ASSERT_FALSE(Result.ok());
  EXPECT_EQ(Result.error().Code, ErrorCode::Refused);
}

TEST_F(HttpTest, ATimeoutAfterTheRequestWasSentIsUnknown) {
  std::shared_ptr<IHttpExchange> Kept;
  Net_.Server.route(
      "GET", "/never",
      [&](const std::shared_ptr<IHttpExchange> &Ex) { Kept = Ex; });
  auto Result = call("/never", milliseconds(50));
  ASSERT_FALSE(Result.ok());
  EXPECT_EQ(Result.error().Code, ErrorCode::Timeout);
}

// Where one turn takes one connection, callers that come at once queue up: they
// give up before their turn, come again, and the queue never ends.
TEST_F(HttpTest, ConnectionsThatComeAtOnceAreAcceptedTogether) {
  constexpr int Callers = 64;
  constexpr int Turns = 20;
  int Served = 0;
  Net_.Server.route("GET", "/", [&](const std::shared_ptr<IHttpExchange> &Ex) {
    ++Served;
    Ex->reply({});
  });
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Net_.Address.Port);
  To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const std::string Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  std::vector<int> Open;
  for (int I = 0; I < Callers; ++I) {
    Open.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    ASSERT_EQ(
        connect(Open.back(), reinterpret_cast<sockaddr *>(&To), sizeof(To)), 0);
    ASSERT_EQ(send(Open.back(), Request.data(), Request.size(), 0),
              static_cast<ssize_t>(Request.size()));
  }
  for (int I = 0; I < Turns; ++I)
    Net_.Loop.turn(milliseconds(1));
  EXPECT_EQ(Served, Callers);
  for (int Each : Open)
    close(Each);
}

TEST_F(HttpTest, TheServerLearnsThatTheClientHasGone) {
  bool Gone = false;
  std::shared_ptr<IHttpExchange> Kept;
  Net_.Server.route("GET", "/gone",
                    [&](const std::shared_ptr<IHttpExchange> &Ex) {
                      Kept = Ex;
                      Kept->onGone([&] { Gone = true; });
                    });
  HttpRequest Request;
  Request.Path = "/gone";
  HttpCallId Id =
      Net_.Client.call(Net_.Address, Request, LongTimeout,
                       [](const Outcome<HttpResponse> &) { FAIL(); });
  ASSERT_TRUE(Net_.runUntil([&] { return Kept != nullptr; }));
  Net_.Client.cancel(Id);
  EXPECT_TRUE(Net_.runUntil([&] { return Gone; }));
  EXPECT_EQ(Net_.Server.unanswered(), 0U);
  Kept->reply({});
}

TEST_F(HttpTest, AConnectionIsNotUsedAgainAfterATimeout) {
  int Requests = 0;
  std::shared_ptr<IHttpExchange> Kept;
  Net_.Server.route("GET", "/mixed",
                    [&](const std::shared_ptr<IHttpExchange> &Ex) {
                      if (++Requests == 1)
                        Kept = Ex;
                      else
                        Ex->reply({200, {}, "second"});
                    });
  EXPECT_FALSE(call("/mixed", milliseconds(50)).ok());
  Kept->reply({200, {}, "first, too late"});
  auto Result = call("/mixed", LongTimeout);
  ASSERT_TRUE(Result.ok());
  EXPECT_EQ(Result->Body, "second");
}

} // namespace
} // namespace geraniumbay
