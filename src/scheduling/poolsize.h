//===- poolsize.h - Which racks share a pool --------------------*- C++ -*-===//
//
// Answers the pattern of thousands of starts a second on hundreds of workers:
// one entry cannot schedule them all, and pools that are too small waste
// processor time on the choice between them and room on tasks that fit into
// none. Operators cut racks for other reasons, so racks are joined until a pool
// has about as many workers as an entry can serve.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_SCHEDULING_POOLSIZE_H
#define GERANIUMBAY_SCHEDULING_POOLSIZE_H

#include <cstddef>
#include <map>
#include <string>

namespace geraniumbay::scheduling {

/// The workers of a pool that its owner serves within an eighth of a core, with
/// room for a burst: some 300 starts a second.
constexpr std::size_t TargetWorkersPerPool = 40;

/// Joins the racks of a data centre, given with their numbers of workers, into
/// groups of about \p Target workers and of even size. Returns the group of
/// each rack, which bears the name of its first rack.
std::map<std::string, std::string>
groupRacks(const std::map<std::string, std::size_t> &Racks, std::size_t Target);

} // namespace geraniumbay::scheduling

#endif // GERANIUMBAY_SCHEDULING_POOLSIZE_H
