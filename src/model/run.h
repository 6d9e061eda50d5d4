//===- run.h - One run of the model -----------------------------*- C++ -*-===//
//
// Plays a scene in a deployment with a policy on the paused clock. The same
// seed gives the same figures.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_RUN_H
#define GERANIUMBAY_MODEL_RUN_H

#include "model/deployment.h"
#include "model/measurement.h"
#include "model/policies.h"
#include "model/scene.h"

namespace geraniumbay::model {

/// The seed of the figures in docs/MEASUREMENTS.md.
constexpr std::uint64_t DefaultSeed = 20261202;

/// Runs the model until all requests are answered.
Measurement run(const Deployment &Deployed, const Scene &Played,
                const Policy &Decided, std::uint64_t Seed = DefaultSeed);

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_RUN_H
