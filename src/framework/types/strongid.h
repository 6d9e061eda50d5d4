//===- strongid.h - Distinct types for ids ----------------------*- C++ -*-===//
//
// Wraps a representation in a type of its own, so that the id of a worker is
// never passed where the id of an entry is wanted.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_TYPES_STRONGID_H
#define GERANIUMBAY_FRAMEWORK_TYPES_STRONGID_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace geraniumbay {

/// A value of type \p RepT that only mixes with values of the same \p TagT.
template <typename TagT, typename RepT> class StrongId {
public:
  using Rep = RepT;

  StrongId() = default;
  explicit StrongId(RepT Value) : Value_(std::move(Value)) {}

  const RepT &value() const { return Value_; }

  auto operator<=>(const StrongId &) const = default; // NOLINT
  bool operator==(const StrongId &) const = default;

private:
  RepT Value_{};
};

template <typename TagT, typename RepT>
std::ostream &operator<<(std::ostream &Out, const StrongId<TagT, RepT> &Id) {
  return Out << Id.value();
}

// Ids that several modules share. A module's own ids stand in its own headers.

/// The configured name of a data centre.
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
/// The configured name of a VM of the system.
using VmId = StrongId<struct VmTag, std::string>;
/// The configured name of a caller (a customer of the dispatcher).
using CallerId = StrongId<struct CallerTag, std::string>;
/// The configured name of a team, the unit of quotas.
using TeamId = StrongId<struct TeamTag, std::string>;
/// The configured name of a service that upstreams offer.
using ServiceId = StrongId<struct ServiceTag, std::string>;
/// The announced name of an upstream (a worker).
using WorkerId = StrongId<struct WorkerTag, std::string>;
/// The id of a submission (a job, or a single not-repeatable request).
using SubmissionId = StrongId<struct SubmissionTag, std::string>;
/// Counts the starts of one process or worker; a higher one replaces a lower.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// The epoch of a ledger; a ledger that lost its disk gets a higher one.
using Epoch = StrongId<struct EpochTag, std::uint64_t>;
/// The version of the configuration, counted by the control log.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;

} // namespace geraniumbay

template <typename TagT, typename RepT>
struct std::hash<geraniumbay::StrongId<TagT, RepT>> {
  std::size_t
  operator()(const geraniumbay::StrongId<TagT, RepT> &Id) const noexcept {
    return std::hash<RepT>()(Id.value());
  }
};

#endif // GERANIUMBAY_FRAMEWORK_TYPES_STRONGID_H
