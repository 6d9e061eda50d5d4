//===- main.cpp - The program of tools/measure ----------------------------===//
//
// Runs the chosen deployments, scenes and policies and prints one JSON line
// for each.
//
//===----------------------------------------------------------------------===//

#include "framework/json/json.h"
#include "model/run.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(policy, "",
              "Policy to run; by default naive, central and the newest "
              "version; \"all\" for every version");
DEFINE_string(scene, "", "Scene to run; all by default");
DEFINE_string(deployment, "", "Deployment to run; all by default");
DEFINE_uint64(seed, geraniumbay::model::DefaultSeed, "Seed of the run");

namespace {

using namespace geraniumbay::model;

bool wantsPolicy(const Policy &Of) {
  if (FLAGS_policy.empty())
    return Of.Kind != PolicyKind::Pools || &Of == &policies().back();
  return FLAGS_policy == "all" || FLAGS_policy == Of.Name;
}

bool wants(const std::string &Flag, const std::string &Name) {
  return Flag.empty() || Flag == Name;
}

int runChosen() {
  int Runs = 0;
  for (const Deployment &Deployed : deployments())
    for (const Scene &Played : scenes())
      for (const Policy &Decided : policies()) {
        if (!wants(FLAGS_deployment, Deployed.Name) ||
            !wants(FLAGS_scene, Played.Name) || !wantsPolicy(Decided))
          continue;
        Measurement Measured = run(Deployed, Played, Decided, FLAGS_seed);
        std::cout << geraniumbay::json::write(toJson(Measured)) << std::endl;
        ++Runs;
      }
  return Runs;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::SetUsageMessage("Measures the dispatch policies on a model.");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  if (runChosen() > 0)
    return 0;
  std::cerr << "no run has that deployment, scene and policy" << std::endl;
  return 1;
}
