//===- types.cpp - Names of the enumerations ------------------------------===//
//
// Converts the enumerations of the messages to their names and back.
//
//===----------------------------------------------------------------------===//

#include "dispatch/types.h"

#include <array>
#include <cstddef>

namespace geraniumbay::dispatch {
namespace {

/// The names of an enumeration's values, in their order.
template <std::size_t Size> using Names = std::array<const char *, Size>;

constexpr Names<2> WorkClasses = {"urgent", "routine"};
constexpr Names<3> RequestKinds = {"repeatable", "single", "job"};
constexpr Names<6> RejectReasons = {"overloaded", "deadline_unmet",
                                    "never_fits", "no_workers",
                                    "draining",   "lost"};
constexpr Names<6> LeaseOutcomes = {"succeeded", "failed",      "not_started",
                                    "refused",   "unreachable", "cancelled"};

template <typename EnumT, std::size_t Size>
const char *nameOf(const Names<Size> &All, EnumT Value) {
  return All[static_cast<std::size_t>(Value)];
}

template <typename EnumT, std::size_t Size>
std::optional<EnumT> parseName(const Names<Size> &All,
                               const std::string &Name) {
  for (std::size_t I = 0; I < Size; ++I)
    if (Name == All[I])
      return static_cast<EnumT>(I);
  return std::nullopt;
}

} // namespace

const char *workClassName(WorkClass Class) {
  return nameOf(WorkClasses, Class);
}

const char *requestKindName(RequestKind Kind) {
  return nameOf(RequestKinds, Kind);
}

const char *rejectReasonName(RejectReason Reason) {
  return nameOf(RejectReasons, Reason);
}

const char *leaseOutcomeName(LeaseOutcome Outcome) {
  return nameOf(LeaseOutcomes, Outcome);
}

std::optional<WorkClass> parseWorkClass(const std::string &Name) {
  return parseName<WorkClass>(WorkClasses, Name);
}

std::optional<RequestKind> parseRequestKind(const std::string &Name) {
  return parseName<RequestKind>(RequestKinds, Name);
}

std::optional<RejectReason> parseRejectReason(const std::string &Name) {
  return parseName<RejectReason>(RejectReasons, Name);
}

std::optional<LeaseOutcome> parseLeaseOutcome(const std::string &Name) {
  return parseName<LeaseOutcome>(LeaseOutcomes, Name);
}

} // namespace geraniumbay::dispatch
