//===- announcer.cpp - Announces an upstream to the entries ---------------===//
//
// Renewal of the announcement by HTTP.
//
//===----------------------------------------------------------------------===//

#include "standin/internal/announcer.h"
#include "framework/json/json.h"

#include <utility>

namespace geraniumbay::standin {

namespace {

constexpr int StatusOk = 200;

HttpRequest requestOf(const membership::WorkerAnnouncement &Announcement) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = membership::AnnouncementPath;
  Request.Headers.push_back({"Content-Type", "application/json"});
  Request.Body = json::write(membership::announcementJson(Announcement));
  return Request;
}

} // namespace

Announcer::Announcer(IHttpClient &Client, ITimers &Timers,
                     const StandInSettings &Settings, BusySource Busy)
    : Client_(Client), Timers_(Timers), Entries_(Settings.Entries),
      Interval_(Settings.RenewInterval), Timeout_(Settings.AnnounceTimeout),
      Busy_(std::move(Busy)), Current_(Settings.Offer) {}

Announcer::~Announcer() {
  Timers_.cancel(Renewal_);
  Client_.cancel(Call_);
}

void Announcer::start() {
  if (Renewal_ == TimerId())
    renew();
}

void Announcer::leave() {
  Current_.State = membership::WorkerState::Leaving;
  Timers_.cancel(std::exchange(Renewal_, TimerId()));
  renew();
}

void Announcer::renew() {
  Renewal_ = TimerId();
  if (Entries_.empty() || HasLeft_)
    return;
  Renewal_ = Timers_.after(Interval_, [this] { renew(); });
  Client_.cancel(std::exchange(Call_, HttpCallId()));
  Current_.Busy = Busy_();
  ++Current_.Version.Sequence;
  send(Entries_.size());
}

void Announcer::send(std::size_t Tries) {
  const Endpoint &To = Entries_[Next_++ % Entries_.size()];
  Call_ = Client_.call(To, requestOf(Current_), Timeout_,
                       [this, Tries](const Outcome<HttpResponse> &Answer) {
                         Call_ = HttpCallId();
                         bool Taken = Answer && Answer->Status == StatusOk;
                         if (Taken &&
                             Current_.State == membership::WorkerState::Leaving)
                           HasLeft_ = true;
                         else if (!Taken && Tries > 1)
                           send(Tries - 1);
                       });
}

} // namespace geraniumbay::standin
