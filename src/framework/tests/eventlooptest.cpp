//===- eventlooptest.cpp - Tests of the loop under interruptions ----------===//
//
// An entry that was frozen for half a second and woken did nothing more: it
// answered nobody and used a whole core, or it ended by a fault of memory; once
// in some thirty freezes under traffic. Waking a process interrupts its wait.
// The loop then took up timers again before it had finished what sockets had
// left to do, timers closed such sockets, and their memory was used twice.
// Shown by the stacks of three entries that hung: all in the list of sockets
// that still have something to do.
//
//===----------------------------------------------------------------------===//

#include "framework/tests/nettestutil.h"

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace geraniumbay {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Far above what the play takes; a loop that hangs is ended by it.
constexpr unsigned MostSeconds = 30;
constexpr int Rounds = 100;
constexpr int CallsOfARound = 8;

/// Interrupts every wait of the thread that made it, again and again.
class Interrupter {
public:
  Interrupter() : Target_(pthread_self()) {
    struct sigaction Action {};
    Action.sa_handler = [](int) {};
    sigaction(SIGUSR1, &Action, nullptr);
    Thread_ = std::thread([this] {
      while (!Ends_) {
        pthread_kill(Target_, SIGUSR1);
        std::this_thread::sleep_for(microseconds(20));
      }
    });
  }
  ~Interrupter() {
    Ends_ = true;
    Thread_.join();
  }
  Interrupter(const Interrupter &) = delete;
  Interrupter &operator=(const Interrupter &) = delete;

private:
  const pthread_t Target_;
  std::atomic<bool> Ends_ = false;
  std::thread Thread_;
};

/// A server that answers the first request of each connection, and no other.
class OneAnswerServer {
public:
  OneAnswerServer() {
    sockaddr_in Name{};
    Name.sin_family = AF_INET;
    Name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Listening_ = ::socket(AF_INET, SOCK_STREAM, 0);
    auto *Bound = reinterpret_cast<sockaddr *>(&Name);
    socklen_t Size = sizeof(Name);
    EXPECT_EQ(::bind(Listening_, Bound, Size), 0);
    EXPECT_EQ(::listen(Listening_, SOMAXCONN), 0);
    EXPECT_EQ(::getsockname(Listening_, Bound, &Size), 0);
    Address = {"127.0.0.1", ntohs(Name.sin_port)};
    std::thread([Listening = Listening_] { serve(Listening); }).detach();
  }

  Endpoint Address;

private:
  static void serve(int Listening) {
    static constexpr char Answer[] =
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";
    char Asked[1024];
    for (;;) {
      int Connection = ::accept(Listening, nullptr, nullptr);
      if (::read(Connection, Asked, sizeof(Asked)) > 0)
        (void)!::write(Connection, Answer, sizeof(Answer) - 1);
    }
  }

  int Listening_;
};

/// Fills connections, then in timers sends over them, gives that up, and makes
/// new ones, while every wait is interrupted. Returns how many were answered.
int playInterruptedCalls() {
  alarm(MostSeconds);
  OneAnswerServer Server;
  NetFixture Net;
  int Answered = 0;
  std::vector<HttpCallId> Open;
  HttpRequest Request;
  Request.Path = "/";
  auto CallAll = [&] {
    Open.clear();
    for (int Number = 0; Number < CallsOfARound; ++Number)
      Open.push_back(Net.Client.call(Server.Address, Request, seconds(1),
                                     [&](const Outcome<HttpResponse> &Result) {
                                       Answered += Result.ok() ? 1 : 0;
                                     }));
  };
  auto GiveUpAll = [&] {
    for (HttpCallId Id : Open)
      Net.Client.cancel(Id);
  };
  auto OnTimer = [&](const std::function<void()> &Act) {
    Net.Loop.timers().after(Duration::zero(), Act);
    Net.Loop.turn(milliseconds(1));
  };
  Interrupter Interrupts;
  for (int Round = 1; Round <= Rounds; ++Round) {
    OnTimer(CallAll);
    if (!Net.runUntil([&] { return Answered == Round * CallsOfARound; }))
      return 0;
    OnTimer(CallAll);
    OnTimer(GiveUpAll);
  }
  return Answered;
}

TEST(EventLoopDeathTest, InterruptedWaitsLeaveNoSocketBehind) {
  EXPECT_EXIT(std::exit(playInterruptedCalls() > 0 ? 0 : 1),
              testing::ExitedWithCode(0), "");
}

} // namespace
} // namespace geraniumbay
