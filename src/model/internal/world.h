//===- world.h - What all parts of a run share ------------------*- C++ -*-===//
//
// The paused clock, the timers, the delays of the deployment, and what was
// measured so far.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_INTERNAL_WORLD_H
#define GERANIUMBAY_MODEL_INTERNAL_WORLD_H

#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "framework/random/random.h"
#include "model/deployment.h"
#include "model/measurement.h"
#include "model/policies.h"
#include "model/scene.h"

namespace geraniumbay::model {

/// Shared state of one run.
struct World {
  World(const Deployment &Of, const Scene &What, const Policy &How,
        std::uint64_t Seed)
      : Deployed(Of), Played(What), Decided(How), Numbers(Seed) {}

  Deployment Deployed;
  Scene Played;
  Policy Decided;
  ManualClock Clock;
  Time Start = Clock.now();
  TimerQueue Timers{Clock};
  Random Numbers;
  Measurement Measured;
};

/// Time since the run started.
Duration elapsed(const World &Of);

/// True while the scene's fault lasts.
bool faultLasts(const World &Of);

/// The data centre of an entry or a worker.
std::size_t centreOfEntry(const Deployment &Of, std::size_t Entry);
std::size_t centreOfWorker(const Deployment &Of, std::size_t Worker);

/// One-way delay between two data centres, or inside one.
Duration delayBetween(const Deployment &Of, std::size_t From, std::size_t To);

/// True if no message passes between the data centres now.
bool isCut(const World &Of, std::size_t From, std::size_t To);

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_INTERNAL_WORLD_H
