//===- rendezvous.h - Rendezvous hashing ------------------------*- C++ -*-===//
//
// All processes that know the same candidates choose the same one for a key,
// and adding or removing a candidate changes the choice for its share of the
// keys only.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_RENDEZVOUS_H
#define GERANIUMBAY_JOBS_INTERNAL_RENDEZVOUS_H

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace geraniumbay::jobs {

/// The candidate with the highest hash of \p WordFor, a string that identifies
/// the candidate and the key; the first of several equal ones. Nothing without
/// candidates.
template <typename T, typename WordFn>
std::optional<T> chooseByHash(const std::vector<T> &Candidates,
                              WordFn WordFor) {
  std::optional<T> Chosen;
  std::size_t Highest = 0;
  for (const T &Each : Candidates) {
    std::size_t Hash = std::hash<std::string>()(WordFor(Each));
    if (Chosen && Hash <= Highest)
      continue;
    Chosen = Each;
    Highest = Hash;
  }
  return Chosen;
}

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_INTERNAL_RENDEZVOUS_H
