//===- policies.cpp - Policies that run side by side ----------------------===//
//
// The list of policies. docs/MEASUREMENTS.md says what each version changed.
//
//===----------------------------------------------------------------------===//

#include "model/policies.h"

namespace geraniumbay::model {
namespace {

Policy naive() {
  Policy Result;
  Result.Name = "naive";
  Result.Kind = PolicyKind::Naive;
  Result.Budgeted = false;
  Result.Hedges = false;
  return Result;
}

Policy central() {
  Policy Result;
  Result.Name = "central";
  Result.Kind = PolicyKind::Central;
  Result.Hedges = false;
  return Result;
}

/// Each data centre's pool serves its own entries only.
Policy version1() {
  Policy Result;
  Result.Name = "v1";
  Result.Pool.SizeRank = 0;
  Result.Pool.NewcomersPart = 0.6;
  Result.Pool.SlowLast = false;
  Result.Pool.ProofAfterFailure = false;
  Result.Pool.RankByRemaining = false;
  Result.Route.RemotePenalty = std::chrono::hours(1);
  Result.Route.ReportLife = Duration(0);
  return Result;
}

/// Requests go to other data centres when these would start them sooner.
Policy version2() {
  Policy Result = version1();
  Result.Name = "v2";
  Result.Route = dispatch::RoutePolicy();
  Result.Route.ReportLife = Duration(0);
  return Result;
}

/// Within a team, small requests go first.
Policy version3() {
  Policy Result = version2();
  Result.Name = "v3";
  Result.Pool.SizeRank = 0.3;
  return Result;
}

/// Answers and grants carry the load of their pool.
Policy version4() {
  Policy Result = version3();
  Result.Name = "v4";
  Result.Route.ReportLife = dispatch::RoutePolicy().ReportLife;
  return Result;
}

/// What is left of a request counts for its rank.
Policy version5() {
  Policy Result = version4();
  Result.Name = "v5";
  Result.Pool.RankByRemaining = true;
  Result.Pool.SizeRank = 0.6;
  return Result;
}

/// Only leases granted after a failure prove a worker well again.
Policy version6() {
  Policy Result = version5();
  Result.Name = "v6";
  Result.Pool.ProofAfterFailure = true;
  return Result;
}

/// Slow workers are picked last.
Policy version7() {
  Policy Result = version6();
  Result.Name = "v7";
  Result.Pool.SlowLast = true;
  return Result;
}

/// More of the queue is kept for those who come back.
Policy version8() {
  Policy Result = version7();
  Result.Name = "v8";
  Result.Pool.NewcomersPart = 0.3;
  return Result;
}

} // namespace

const std::vector<Policy> &policies() {
  static const std::vector<Policy> All = {
      naive(),    central(),  version1(), version2(), version3(),
      version4(), version5(), version6(), version7(), version8()};
  return All;
}

std::optional<Policy> findPolicy(const std::string &Name) {
  for (const Policy &Each : policies())
    if (Each.Name == Name)
      return Each;
  return std::nullopt;
}

} // namespace geraniumbay::model
