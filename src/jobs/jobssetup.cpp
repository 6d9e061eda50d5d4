//===- jobssetup.cpp - Wiring of the jobs module --------------------------===//
//
// Looks up the services' dependencies by name.
//
//===----------------------------------------------------------------------===//

#include "jobs/jobssetup.h"

#include "control/controlsetup.h"
#include "framework/kernel/names.h"
#include "jobs/internal/entryjobs.h"
#include "jobs/internal/jobservice.h"

namespace geraniumbay::jobs {

namespace framework_name = geraniumbay::service_name;

void setUpJobControl(Registry &Services, RoutingReader Reader,
                     Duration LongestLease,
                     std::set<DataCentreId> DataCentres) {
  LeaseSettings Lease;
  Lease.LongestLease = LongestLease;
  JobServiceDependencies Deps{
      Services.get<control::IReplicatedLog>(
          control::service_name::ReplicatedLog),
      Services.get<ReplicatedJobs>(service_name::JobStore).store(),
      Services.get<IWorkerCalls>(service_name::WorkerCalls),
      Services.get<IClock>(framework_name::Clock),
      Services.get<ITimers>(framework_name::Timers),
      Services.get<Metrics>(framework_name::Metrics),
      Services.get<IRpcServer>(framework_name::RpcServer),
      Services.get<IRpcClient>(framework_name::RpcClient),
      std::move(DataCentres)};
  auto Service = std::make_shared<JobService>(Deps, std::move(Reader), Lease);
  Services.add<IJobControl>(service_name::JobControl, Service);
  Service->start();
}

void setUpJobGateway(Registry &Services, const Endpoint &Self,
                     const DataCentreId &DataCentre,
                     const scheduling::VmCapacity &Capacity,
                     std::vector<Endpoint> ControlVms, RoutingReader Reader,
                     Duration LongestLease) {
  LeaseSettings Lease;
  Lease.LongestLease = LongestLease;
  EntryDependencies Deps{Services.get<IWorkerCalls>(service_name::WorkerCalls),
                         Services.get<IClock>(framework_name::Clock),
                         Services.get<ITimers>(framework_name::Timers),
                         Services.get<Metrics>(framework_name::Metrics),
                         Services.get<IRpcServer>(framework_name::RpcServer),
                         Services.get<IRpcClient>(framework_name::RpcClient)};
  auto Gateway = std::make_shared<EntryJobs>(
      Deps, ListedEntry{{Self, DataCentre}, Capacity}, std::move(ControlVms),
      std::move(Reader), Lease);
  Services.add<IJobGateway>(service_name::JobGateway, Gateway);
  Gateway->start();
}

} // namespace geraniumbay::jobs
