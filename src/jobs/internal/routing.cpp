//===- routing.cpp - Mapping of requests to queues ------------------------===//
//
// Longest-prefix match.
//
//===----------------------------------------------------------------------===//

#include "jobs/routing.h"

namespace geraniumbay::jobs {

QueueMatch findQueue(const Routing &Config, const std::string &Host,
                     const std::string &Path) {
  const Queue *Best = nullptr;
  for (const Queue &Candidate : Config.Queues) {
    const std::string &Prefix = Candidate.Place.PathPrefix;
    if (Candidate.Place.Host != Host ||
        Path.compare(0, Prefix.size(), Prefix) != 0)
      continue;
    if (!Best || Prefix.size() > Best->Place.PathPrefix.size())
      Best = &Candidate;
  }
  if (!Best)
    return {};
  return {Best, Path.substr(Best->Place.PathPrefix.size())};
}

} // namespace geraniumbay::jobs
