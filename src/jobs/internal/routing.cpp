//===- routing.cpp - Which queue a request belongs to ---------------------===//
//
// Longest-prefix match.
//
//===----------------------------------------------------------------------===//

#include "jobs/routing.h"

namespace geraniumbay::jobs {

QueueMatch findQueue(const Routing &In, const std::string &Host,
                     const std::string &Path) {
  const Queue *Best = nullptr;
  for (const Queue &Each : In.Queues) {
    const std::string &Prefix = Each.Place.PathPrefix;
    if (Each.Place.Host != Host || Path.compare(0, Prefix.size(), Prefix) != 0)
      continue;
    if (!Best || Prefix.size() > Best->Place.PathPrefix.size())
      Best = &Each;
  }
  if (!Best)
    return {};
  return {Best, Path.substr(Best->Place.PathPrefix.size())};
}

} // namespace geraniumbay::jobs
