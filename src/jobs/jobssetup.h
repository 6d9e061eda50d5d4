//===- jobssetup.h - Wiring of the jobs module ------------------*- C++ -*-===//
//
// Builds the module's services and registers them by name.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_JOBSSETUP_H
#define GERANIUMBAY_JOBS_JOBSSETUP_H

#include "framework/kernel/registry.h"
#include "framework/net/endpoint.h"
#include "jobs/ijobcontrol.h"
#include "jobs/ijobgateway.h"
#include "jobs/jobstore.h"
#include "jobs/routing.h"
#include "scheduling/ownership.h"

namespace geraniumbay::jobs {

namespace service_name {

constexpr const char *JobControl = "job_control"; ///< IJobControl
constexpr const char *JobGateway = "job_gateway"; ///< IJobGateway
/// IWorkerCalls, looked up by setUpJobControl.
constexpr const char *WorkerCalls = "worker_calls";
/// ReplicatedJobs, looked up by setUpJobControl.
constexpr const char *JobStore = "job_store";

} // namespace service_name

/// Registers IJobControl on a control VM and starts it. Needs the framework's
/// services, "replicated_log", "worker_calls" and "job_store". \p DataCentres
/// are those named in the settings.
void setUpJobControl(Registry &Services, RoutingReader Reader,
                     Duration LongestLease, std::set<DataCentreId> DataCentres);

/// Registers IJobGateway on an entry that its peers reach at \p Self, and
/// starts to look for the leader among \p ControlVms. \p Capacity is that of
/// the VM. Needs the framework's services and "worker_calls".
void setUpJobGateway(Registry &Services, const Endpoint &Self,
                     const DataCentreId &DataCentre,
                     const scheduling::VmCapacity &Capacity,
                     std::vector<Endpoint> ControlVms, RoutingReader Reader,
                     Duration LongestLease);

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_JOBSSETUP_H
