//===- modelnetwork.cpp - Calls between entries with their delays ---------===//
//
// Delivery of calls and of heartbeats.
//
//===----------------------------------------------------------------------===//

#include "model/internal/modelnetwork.h"

namespace geraniumbay::model {
namespace {

/// A pool that was not heard of for so long is taken as lost.
constexpr Duration PoolLostAfter = std::chrono::seconds(3);

} // namespace

Endpoint entryAddress(std::size_t Index) {
  return {"10.1.0.1", static_cast<std::uint16_t>(Index)};
}

VmId entryName(std::size_t Index) { return VmId(std::to_string(Index)); }

void ModelRpc::call(const Endpoint &To, const std::string &Method,
                    Json::Value Params, Duration Timeout, Callback Done) {
  const Deployment &Deployed = Shared_.Deployed;
  std::size_t From = centreOfEntry(Deployed, Entry_);
  std::size_t There = centreOfEntry(Deployed, To.Port);
  if (isCut(Shared_, From, There)) {
    Shared_.Timers.after(Timeout, [Done] {
      Done(Error{ErrorCode::Timeout, "the network is cut"});
    });
    return;
  }
  bool Itself = To.Port == Entry_;
  Duration Delay =
      Itself ? Deployed.ToItself : delayBetween(Deployed, From, There);
  constexpr int CallAndReply = 2;
  Shared_.Measured.ControlMessages += Itself ? 0 : CallAndReply;
  Shared_.Timers.after(Delay, [this, To, Method, Params, Delay, Done] {
    Servers_[To.Port]->find(Method)(
        Params, [this, To, Delay, Done](Outcome<Json::Value> Reply) {
          answer(To.Port, Delay, std::move(Reply), Done);
        });
  });
}

void ModelRpc::answer(std::size_t To, Duration Delay,
                      Outcome<Json::Value> Reply, const Callback &Done) {
  const Deployment &Deployed = Shared_.Deployed;
  if (isCut(Shared_, centreOfEntry(Deployed, To),
            centreOfEntry(Deployed, Entry_)))
    Reply = Error{ErrorCode::Timeout, "the network is cut"};
  Shared_.Timers.after(Delay, [Reply, Done] { Done(Reply); });
}

dispatch::EntryRef ModelDirectory::self() const {
  return {entryName(Entry_), Incarnation(1)};
}

DataCentreId ModelDirectory::dataCentre() const {
  const Deployment &Deployed = Shared_.Deployed;
  return DataCentreId(Deployed.DataCentres[centreOfEntry(Deployed, Entry_)]);
}

std::vector<dispatch::PoolSummary>
ModelDirectory::pools(const ServiceId & /*Service*/) const {
  std::vector<dispatch::PoolSummary> All;
  if (Local_)
    All = Local_->summaries();
  for (const auto &[Owner, Known] : Heard_)
    if (Shared_.Clock.now() - Known.At < PoolLostAfter)
      All.push_back(Known.Summary);
  return All;
}

std::optional<Endpoint> ModelDirectory::peerAddress(const VmId &Entry) const {
  return entryAddress(std::stoul(Entry.value()));
}

void ModelDirectory::heard(const dispatch::PoolSummary &Summary) {
  if (Summary.Owner != entryName(Entry_))
    Heard_[Summary.Owner] = {Summary, Shared_.Clock.now()};
}

} // namespace geraniumbay::model
