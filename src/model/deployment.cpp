//===- deployment.cpp - The users' deployments ----------------------------===//
//
// Figures of the users' "sizes of today".
//
//===----------------------------------------------------------------------===//

#include "model/deployment.h"

namespace geraniumbay::model {
namespace {

Deployment reclamos() {
  Deployment Result;
  Result.Name = "reclamos";
  Result.DataCentres = {"barracas", "pompeya", "avellaneda"};
  Result.WorkersPerRack = 8;
  Result.BetweenCentres = std::chrono::microseconds(1500);
  Result.ToClient = std::chrono::milliseconds(3);
  Result.Weight = dispatch::MessageWeight::Messages;
  return Result;
}

Deployment association() {
  Deployment Result;
  Result.Name = "association";
  Result.DataCentres = {"chatuchak", "pak_khlong", "bang_rak", "khlong_toei"};
  Result.WorkersPerRack = 6;
  Result.BetweenCentres = std::chrono::milliseconds(1);
  Result.ToClient = std::chrono::milliseconds(1);
  Result.Weight = dispatch::MessageWeight::Response;
  return Result;
}

} // namespace

const std::vector<Deployment> &deployments() {
  static const std::vector<Deployment> All = {reclamos(), association()};
  return All;
}

std::optional<Deployment> findDeployment(const std::string &Name) {
  for (const Deployment &Each : deployments())
    if (Each.Name == Name)
      return Each;
  return std::nullopt;
}

} // namespace geraniumbay::model
