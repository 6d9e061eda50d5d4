//===- announcer.h - Announces an upstream to the entries -------*- C++ -*-===//
//
// Renews the announcement in every interval, each time at the next entry, and
// tries the others in turn when one does not take it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_STANDIN_INTERNAL_ANNOUNCER_H
#define GERANIUMBAY_STANDIN_INTERNAL_ANNOUNCER_H

#include "framework/clock/itimers.h"
#include "framework/net/ihttpclient.h"
#include "standin/standinsettings.h"

#include <functional>

namespace geraniumbay::standin {

/// The announcements of one upstream.
class Announcer {
public:
  using BusySource = std::function<std::uint32_t()>;

  Announcer(IHttpClient &Client, ITimers &Timers,
            const StandInSettings &Settings, BusySource Busy);
  ~Announcer();

  /// Announces now and renews from then on.
  void start();
  /// Announces that the upstream leaves, until an entry takes it.
  void leave();
  bool hasLeft() const { return HasLeft_; }

private:
  /// Announces at the next entry and sets the timer of the next time.
  void renew();
  /// Sends the current announcement; \p Tries entries may be tried.
  void send(std::size_t Tries);

  IHttpClient &Client_;
  ITimers &Timers_;
  const std::vector<Endpoint> Entries_;
  const Duration Interval_;
  const Duration Timeout_;
  BusySource Busy_;
  /// Invariant: its sequence grows with each announcement.
  membership::WorkerAnnouncement Current_;
  std::size_t Next_ = 0;
  TimerId Renewal_;
  /// The call that is under way, if any.
  HttpCallId Call_;
  bool HasLeft_ = false;
};

} // namespace geraniumbay::standin

#endif // GERANIUMBAY_STANDIN_INTERNAL_ANNOUNCER_H
