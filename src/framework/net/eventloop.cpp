//===- eventloop.cpp - The one loop on the one thread ---------------------===//
//
// The loop of a process, on h2o's event loop.
//
//===----------------------------------------------------------------------===//

#include "framework/net/eventloop.h"

#include <algorithm>
#include <csignal>
#include <h2o.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace geraniumbay {

namespace {

/// The longest wait of a turn of run(); a bound, not a polling interval.
constexpr Duration LongestWait = std::chrono::seconds(1);

/// The wait in whole milliseconds, rounded up so that a timer is due after it.
std::int32_t waitMillis(Duration Wait) {
  constexpr Duration Millisecond = std::chrono::milliseconds(1);
  if (Wait <= Duration::zero())
    return 0;
  return static_cast<std::int32_t>((Wait + Millisecond - Duration(1)) /
                                   Millisecond);
}

} // namespace

struct EventLoop::Watch {
  h2o_socket_t *Socket;
  std::function<void()> Ready;
};

EventLoop::EventLoop(const IClock &Clock)
    : Clock_(Clock), Loop_(h2o_evloop_create()), Timers_(Clock) {
  // A peer that has gone shows as an error of the write, not as a signal.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  for (auto &Watched : Watches_)
    h2o_socket_close(Watched->Socket);
  // h2o 2.2 cannot free an evloop that has had sockets; it ends with the
  // process.
}

void EventLoop::run() {
  Stopped_ = false;
  while (!Stopped_) {
    Timers_.runDue();
    // A timer that stops the loop must not wait for sockets first.
    if (!Stopped_)
      waitForSockets(LongestWait);
  }
}

void EventLoop::turn(Duration MaxWait) {
  Timers_.runDue();
  waitForSockets(MaxWait);
}

void EventLoop::waitForSockets(Duration MaxWait) {
  // h2o frees closed sockets when its turn begins, and relies on it that none
  // of them still has a callback to run: it runs these after each callback of
  // its own. Timers run outside of it, so this is done for them here. Without
  // it a socket that a timer wrote to and another closed is used after it was
  // freed; where a signal had interrupted the wait between, the loop then ran
  // for ever or the process ended (one in thirty pauses under traffic). And a
  // request that a timer sends over an open connection would hear its answer
  // only when something else wakes the loop, as its next timer (100 ms instead
  // of below 1 ms on an idle loop with a timer each 100 ms).
  h2o_timeout__do_post_callback(Loop_);
  Duration Wait = MaxWait;
  if (auto Due = Timers_.nextDue())
    Wait = std::min(Wait, *Due - Clock_.now());
  h2o_evloop_run(Loop_, waitMillis(Wait));
}

void EventLoop::onReadable(h2o_socket_t *Socket, const char * /*Failure*/) {
  static_cast<Watch *>(Socket->data)->Ready();
}

void EventLoop::watch(int Descriptor, std::function<void()> Ready) {
  auto Entry = std::make_unique<Watch>();
  Entry->Ready = std::move(Ready);
  Entry->Socket =
      h2o_evloop_socket_create(Loop_, Descriptor, H2O_SOCKET_FLAG_DONT_READ);
  Entry->Socket->data = Entry.get();
  h2o_socket_read_start(Entry->Socket, onReadable);
  Watches_.push_back(std::move(Entry));
}

void EventLoop::onSignal(int Signal, std::function<void()> Handle) {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, Signal);
  sigprocmask(SIG_BLOCK, &Set, nullptr);
  int Descriptor = signalfd(-1, &Set, SFD_NONBLOCK | SFD_CLOEXEC);
  watch(Descriptor, [Descriptor, Handle = std::move(Handle)] {
    signalfd_siginfo Info{};
    while (read(Descriptor, &Info, sizeof(Info)) == sizeof(Info))
      Handle();
  });
}

} // namespace geraniumbay
