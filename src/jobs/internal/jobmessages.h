//===- jobmessages.h - Messages between entries and control -----*- C++ -*-===//
//
// Names of the methods that control VMs offer for jobs, and the JSON forms of
// their messages.
//
//   jobs.submit  {host, path, job} -> answer
//   jobs.state   {host, path} -> answer
//   jobs.cancel  {host, path} -> answer
//   jobs.pending {host, path} -> answer
//   jobs.sync    {entry, data_centre, cpu_millis?, link_kbits?, configuration,
//                 workers_of,
//                 workers_change, workers_in?, workers_digest?, lists_of,
//                 entries_change, entries_known?, entries_digest?,
//                 owners_change, loads_change, loads_after?,
//                 evacuations_change, evacuated_running?: {DATA_CENTRE: tasks},
//                 gone?: {WORKER: its start time}, by_rack?,
//                 owned?: {POOL: REPORT}}
//     -> {leader, ready, members, schedules, configuration?, document?,
//         large_document?, workers_of?, workers_change?, workers?, removed?,
//         many_workers?, all_workers?, no_others?, evacuations?, ask_after_us?,
//         lists_of?, entries_change?, entries?: {DATA_CENTRE:
//         "ADDRESS ADDRESS ..."}, entries_new?, entries_same?,
//         entry_capacity?: {"CPU_MILLIS LINK_KBITS": "ADDRESS ADDRESS ..."},
//         by_rack?,
//         rack_groups?: {DATA_CENTRE: {RACK: GROUP}}, owners_change?,
//         loads_after?, owners?: {POOL: REPORT, or null where the owner is
//         silent}}
//     from an entry, periodically; the reply has the changes since the state
//     that the request names. Only the leader reports workers, entries and
//     owners. What is large is announced only (large_document, many_workers)
//     and fetched with the methods below. REPORT is owner, token, load; pools
//     of which only the load has changed are reported in batches, in the order
//     of their names, up to loads_after. Lists and changes of workers cover
//     the data centres in workers_in.
//     gone: workers whose address another one has answered
//     all_workers: the leader knows all running workers, and the entry has its
//     whole list.
//     no_others: the entry drops the workers that are not listed.
//     entry_capacity: of the entries in the same reply, where entries differ
//     entries_same: the entry's list, by its digest, equals the new leader's
//   jobs.document {} -> {configuration, document}; any control VM answers
//   jobs.workers {workers_of, workers_change, workers_in?, workers_digest?,
//                 lists_of, evacuations_change}
//     -> {workers_of, workers_change, workers, removed?, evacuations?}
//     or {leader}; a follower answers with the whole list that the
//     leader of the term lists_of has shared
//   pool.ping    {from, incarnation, pools: {POOL: CLAIM}, echo_us, sent_us,
//                 stopping, young?, suspects?}
//     -> {pools: {POOL: CLAIM}, stamp_us, stopping, age_us? (of a recently
//         started process), suspects?: {JOB: {age_us, tasks that may crash
//         workers}}}
//     where CLAIM is owner, token, highest, first? (the first token that
//     was known), workers? and load? (of an owner), settled?, lets_go?, rival?,
//     rival_token?
//   pool.run     {pool, job, age_us, left_us, origin, incarnation, serial,
//                 echo_us, maybe_taken?, home?, registrar?,
//                 sent_elsewhere_us? (since it was sent to another owner)}
//     -> answer, CLAIM with not_owner, or {registered: the job's other pool}
//   pool.drop    {pool, job, origin, incarnation, serial} -> {}
//   pool.register {home, heeded, claims?: [CLAIMANT], releases?: [CLAIMANT]}
//     -> {token, answers?: [{pool, had_by_other?}]}
//     from the owner of a pool to a registrar, which answers with its token and
//     the pool that each job is assigned to; CLAIMANT is job, pool, token,
//     question
//   pool.report {home, token, pool} -> {heeded, token?, question?, jobs?}
//     from a registrar to the owner of a pool, which by answering promises to
//     obey no registrar of the home with a lower token; without jobs: the owner
//     does not know yet what runs in the pool, or obeys a later registrar
//   workers.announce {workers} and workers.leave {worker} -> {}
//     forwarded to the leader, and acknowledged once the leader has it
//   workers.heard {workers} -> {unknown?: workers that it does not have}
//     to the leader: workers heard by a follower whose announcements brought
//     no change
//   workers.share {workers_of, leader, since, workers_change, workers?,
//     removed?} -> {behind?}
//     from the leader to the followers: the changes after since, in parts
//   evacuation.order {data_centre, evacuate, base?, at_ms?} -> {}
//     forwarded to the leader with base, the number of the data centre's last
//     order that was known to the control VM that accepted this one
//   evacuation.list {forwarded?} -> {evacuations: [{data_centre, since_ms,
//     running, entries_behind}]}
//     forwarded to the leader
//   routing.put  {document} -> {}; routing.get {} -> {document}
//     forwarded to the leader
//
// A follower answers the jobs methods with {leader}, which is empty while it
// knows none. A control VM that has lost the leadership after it accepted a job
// adds {maybe_taken}.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_INTERNAL_JOBMESSAGES_H
#define GERANIUMBAY_JOBS_INTERNAL_JOBMESSAGES_H

#include "framework/json/json.h"
#include "jobs/ijobgateway.h"
#include "jobs/internal/jobregister.h"

namespace geraniumbay::jobs::wire {

namespace method {
constexpr const char *Submit = "jobs.submit";
constexpr const char *State = "jobs.state";
constexpr const char *Cancel = "jobs.cancel";
constexpr const char *Pending = "jobs.pending";
constexpr const char *Sync = "jobs.sync";
constexpr const char *Document = "jobs.document";
constexpr const char *Workers = "jobs.workers";
constexpr const char *Ping = "pool.ping";
constexpr const char *Run = "pool.run";
constexpr const char *Drop = "pool.drop";
constexpr const char *Register = "pool.register";
constexpr const char *Report = "pool.report";
constexpr const char *Announce = "workers.announce";
constexpr const char *Leave = "workers.leave";
constexpr const char *Heard = "workers.heard";
constexpr const char *Share = "workers.share";
constexpr const char *PutRouting = "routing.put";
constexpr const char *GetRouting = "routing.get";
constexpr const char *Evacuate = "evacuation.order";
constexpr const char *Evacuations = "evacuation.list";
} // namespace method

/// Whether the field \p Name is there and true.
bool isSet(const Json::Value &From, const char *Name);
/// The number in the field \p Name; 0 if it is missing or no such number.
std::uint64_t numberOf(const Json::Value &From, const char *Name);

Json::Value write(const JobAnswer &Value);
RetVal<JobAnswer> readAnswer(const Json::Value &From);

Json::Value write(const JobId &Id, const Claimant &By);
/// A null value reads as an empty list.
RetVal<std::vector<std::pair<JobId, Claimant>>>
readClaims(const Json::Value &From);

Json::Value write(const RegistrarReply &Value);
RetVal<RegistrarReply> readRegistrarWord(const Json::Value &From);

/// Reads the address in the field \p Name.
RetVal<Endpoint> readEndpoint(const Json::Value &From, const char *Name);

} // namespace geraniumbay::jobs::wire

#endif // GERANIUMBAY_JOBS_INTERNAL_JOBMESSAGES_H
