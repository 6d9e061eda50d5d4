//===- deployment.h - The users' deployments --------------------*- C++ -*-===//
//
// The sizes and delays of the two deployments as they are today.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_DEPLOYMENT_H
#define GERANIUMBAY_MODEL_DEPLOYMENT_H

#include "dispatch/retrybudget.h"
#include "framework/clock/iclock.h"

#include <optional>
#include <string>
#include <vector>

namespace geraniumbay::model {

/// One deployment.
struct Deployment {
  std::string Name;
  std::vector<std::string> DataCentres;
  /// Spread over the data centres in turn.
  std::size_t Entries = 7;
  /// Spread over the data centres in blocks of the same size.
  std::size_t Workers = 48;
  std::size_t WorkersPerRack = 8;
  std::uint32_t SlotsPerWorker = 8;
  /// One-way delays.
  Duration BetweenCentres{0};
  Duration ToClient{0};
  Duration InsideCentre = std::chrono::microseconds(250);
  /// From one process to itself.
  Duration ToItself = std::chrono::microseconds(20);
  dispatch::MessageWeight Weight = dispatch::MessageWeight::Response;
};

/// Both deployments.
const std::vector<Deployment> &deployments();

/// The deployment called \p Name, or nothing.
std::optional<Deployment> findDeployment(const std::string &Name);

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_DEPLOYMENT_H
