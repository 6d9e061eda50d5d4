//===- modelnetwork.h - Calls between entries with their delays -*- C++ -*-===//
//
// The entries' RPC servers and clients over the delays and cuts of a run, and
// the pool directory that heartbeats fill.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_INTERNAL_MODELNETWORK_H
#define GERANIUMBAY_MODEL_INTERNAL_MODELNETWORK_H

#include "dispatch/ipooldirectory.h"
#include "dispatch/ipoolowner.h"
#include "framework/rpc/irpcclient.h"
#include "framework/rpc/irpcserver.h"
#include "model/internal/world.h"

#include <map>
#include <unordered_map>

namespace geraniumbay::model {

/// The methods of one entry.
class ModelServer : public IRpcServer {
public:
  void method(const std::string &Name, Method Handle) override {
    Methods_[Name] = std::move(Handle);
  }
  const Method &find(const std::string &Name) const {
    return Methods_.at(Name);
  }

private:
  std::unordered_map<std::string, Method> Methods_;
};

/// All entries' servers; the port of an address is the entry's index.
using ModelServers = std::vector<std::unique_ptr<ModelServer>>;

/// Calls from one entry.
class ModelRpc : public IRpcClient {
public:
  ModelRpc(World &Shared, const ModelServers &Servers, std::size_t Entry)
      : Shared_(Shared), Servers_(Servers), Entry_(Entry) {}

  void call(const Endpoint &To, const std::string &Method, Json::Value Params,
            Duration Timeout, Callback Done) override;

private:
  void answer(std::size_t To, Duration Delay, Outcome<Json::Value> Reply,
              const Callback &Done);

  World &Shared_;
  const ModelServers &Servers_;
  std::size_t Entry_;
};

/// What one entry knows of the pools: its own now, others from heartbeats.
class ModelDirectory : public dispatch::IPoolDirectory {
public:
  ModelDirectory(const World &Shared, std::size_t Entry)
      : Shared_(Shared), Entry_(Entry) {}

  dispatch::EntryRef self() const override;
  DataCentreId dataCentre() const override;
  std::vector<dispatch::PoolSummary>
  pools(const ServiceId &Service) const override;
  std::optional<Endpoint> peerAddress(const VmId &Entry) const override;

  /// Takes the heartbeat of a pool.
  void heard(const dispatch::PoolSummary &Summary);
  /// The pool that this entry owns itself.
  void setLocal(const dispatch::IPoolOwner *Local) { Local_ = Local; }

private:
  struct Heard {
    dispatch::PoolSummary Summary;
    Time At{};
  };

  const World &Shared_;
  std::size_t Entry_;
  std::map<VmId, Heard> Heard_;
  const dispatch::IPoolOwner *Local_ = nullptr;
};

/// Address and name of the entry \p Index.
Endpoint entryAddress(std::size_t Index);
VmId entryName(std::size_t Index);

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_INTERNAL_MODELNETWORK_H
