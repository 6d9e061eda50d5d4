//===- world.cpp - What all parts of a run share --------------------------===//
//
// Places and delays.
//
//===----------------------------------------------------------------------===//

#include "model/internal/world.h"

namespace geraniumbay::model {

Duration elapsed(const World &Of) { return Of.Clock.now() - Of.Start; }

bool faultLasts(const World &Of) {
  return elapsed(Of) >= Of.Played.FaultAt && elapsed(Of) < Of.Played.FaultEnd;
}

std::size_t centreOfEntry(const Deployment &Of, std::size_t Entry) {
  return Entry % Of.DataCentres.size();
}

std::size_t centreOfWorker(const Deployment &Of, std::size_t Worker) {
  return Worker / (Of.Workers / Of.DataCentres.size());
}

Duration delayBetween(const Deployment &Of, std::size_t From, std::size_t To) {
  return From == To ? Of.InsideCentre : Of.BetweenCentres;
}

bool isCut(const World &Of, std::size_t From, std::size_t To) {
  return Of.Played.Cut && From != To && (From == 0 || To == 0) &&
         faultLasts(Of);
}

} // namespace geraniumbay::model
