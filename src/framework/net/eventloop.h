//===- eventloop.h - The one loop on the one thread -------------*- C++ -*-===//
//
// Runs sockets and timers of the whole process on h2o's event loop. Nothing
// else waits for anything.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_NET_EVENTLOOP_H
#define GERANIUMBAY_FRAMEWORK_NET_EVENTLOOP_H

#include "framework/clock/timerqueue.h"

#include <functional>
#include <memory>
#include <vector>

extern "C" {
struct st_h2o_evloop_t;
struct st_h2o_socket_t;
}

namespace geraniumbay {

/// The loop of a process.
class EventLoop {
public:
  /// Keeps \p Clock, which outlives the loop.
  explicit EventLoop(const IClock &Clock);
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs until stop() is called.
  void run();
  /// Makes run() return after the current turn.
  void stop() { Stopped_ = true; }
  /// Turns the loop once: runs due timers, then waits at most \p MaxWait for
  /// sockets and handles those that are ready. Also works once the loop was
  /// stopped, to send what is left.
  void turn(Duration MaxWait);

  /// Calls \p Ready whenever \p Descriptor can be read. The loop owns it.
  void watch(int Descriptor, std::function<void()> Ready);
  /// Calls \p Handle on the loop when the process gets \p Signal, which is
  /// blocked from here on.
  void onSignal(int Signal, std::function<void()> Handle);

  ITimers &timers() { return Timers_; }
  st_h2o_evloop_t *handle() { return Loop_; }

private:
  struct Watch;
  void waitForSockets(Duration MaxWait);
  static void onReadable(st_h2o_socket_t *Socket, const char *Failure);

  const IClock &Clock_;
  st_h2o_evloop_t *Loop_;
  TimerQueue Timers_;
  std::vector<std::unique_ptr<Watch>> Watches_;
  bool Stopped_ = false;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_NET_EVENTLOOP_H
