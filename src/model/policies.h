//===- policies.h - Policies that run side by side --------------*- C++ -*-===//
//
// The two baselines and the versions of the product's policy, by name. A
// version is a set of settings of the dispatch module, so that earlier ones
// stay runnable as the module grows.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_POLICIES_H
#define GERANIUMBAY_MODEL_POLICIES_H

#include "dispatch/poolpolicy.h"
#include "dispatch/retrybudget.h"
#include "dispatch/router.h"

#include <optional>
#include <string>
#include <vector>

namespace geraniumbay::model {

/// Who decides where tasks run.
enum class PolicyKind {
  Naive,   ///< Each entry goes round the workers and retries at once.
  Central, ///< One queue that knows everything without delay: the ideal.
  Pools,   ///< The dispatch module.
};

/// One policy.
struct Policy {
  std::string Name;
  PolicyKind Kind = PolicyKind::Pools;
  dispatch::PoolPolicy Pool;
  dispatch::RoutePolicy Route;
  /// Retries and hedges draw on the budget of the dispatch module.
  bool Budgeted = true;
  bool Hedges = true;
};

/// All policies, the newest version last.
const std::vector<Policy> &policies();

/// The policy called \p Name, or nothing.
std::optional<Policy> findPolicy(const std::string &Name);

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_POLICIES_H
