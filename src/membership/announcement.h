//===- announcement.h - What an upstream says about itself ------*- C++ -*-===//
//
// An upstream announces itself by `POST /v1/upstreams` to any entry, renews
// the announcement every second and announces that it leaves. The same JSON
// goes from that entry to the owner as `pool.announce`.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_ANNOUNCEMENT_H
#define GERANIUMBAY_MEMBERSHIP_ANNOUNCEMENT_H

#include "framework/errors/error.h"
#include "framework/net/endpoint.h"
#include "membership/revision.h"

#include <cstdint>
#include <json/value.h>
#include <string>

namespace geraniumbay::membership {

/// The path of the announcements on the callers' server.
constexpr const char *AnnouncementPath = "/v1/upstreams";

/// Whether a worker takes new tasks.
enum class WorkerState { Serving, Leaving };

/// One announcement of a worker.
struct WorkerAnnouncement {
  WorkerId Worker;
  /// Where the worker takes tasks by HTTP.
  Endpoint Address;
  DataCentreId DataCentre;
  std::string Rack;
  ServiceId Service;
  /// Tasks that the worker runs at a time; at least 1.
  std::uint32_t Slots = 1;
  /// Connections that the worker accepts; at least 1.
  std::uint32_t Connections = 1;
  /// Slots in use when the worker sent this.
  std::uint32_t Busy = 0;
  /// The incarnation is at least 1 and grows with each start of the worker;
  /// the sequence grows with each announcement.
  Revision Version;
  WorkerState State = WorkerState::Serving;

  bool operator==(const WorkerAnnouncement &) const = default;
};

/// Reads an announcement; fails with InvalidArgument and the field's name.
RetVal<WorkerAnnouncement> readAnnouncement(const Json::Value &Value);

/// Writes an announcement, as readAnnouncement() reads it.
Json::Value announcementJson(const WorkerAnnouncement &Announcement);

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_ANNOUNCEMENT_H
