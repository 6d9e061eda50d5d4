//===- routing.h - Mapping of requests to queues ----------------*- C++ -*-===//
//
// The queues and services of the configuration in force, independent of the
// format of the document that defines them.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_ROUTING_H
#define GERANIUMBAY_JOBS_ROUTING_H

#include "framework/errors/error.h"
#include "jobs/jobtypes.h"

#include <functional>

namespace geraniumbay::jobs {

/// The operator's version number of a document; the highest is in force.
using DocumentVersion = StrongId<struct DocumentVersionTag, std::uint64_t>;

/// A queue of the configuration.
struct Queue {
  QueueName Name;
  QueuePlace Place;
  ServiceId Service;
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// A task that has failed this many times fails its job.
  std::uint32_t MaxFailures = 1;
  scheduling::Objective Promised;
};

/// The contents of a configuration document.
struct Routing {
  DocumentVersion Version;
  std::vector<Queue> Queues;
};

/// Parses a document. An InvalidArgument error describes what is wrong with it.
using RoutingReader = std::function<RetVal<Routing>(const std::string &)>;

/// A queue and the rest of the path after the queue's prefix.
struct QueueMatch {
  const Queue *Found = nullptr;
  std::string Rest;
};

/// Finds the queue of \p Host with the longest prefix of \p Path; Found is null
/// if no queue matches.
QueueMatch findQueue(const Routing &Config, const std::string &Host,
                     const std::string &Path);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_ROUTING_H
