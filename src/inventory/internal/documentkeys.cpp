//===- documentkeys.cpp - The tables of the document's sections -----------===//
//
// Which keys each section has, in the order of the page of the keys.
//
//===----------------------------------------------------------------------===//

#include "inventory/internal/documentkeys.h"

namespace geraniumbay::inventory {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const ByteCount OneByte(1);
const ByteCount OneMiB(1U << 20U);
const ByteCount LargestMessage(64U << 20U);
const ByteCount LargestMemory(std::uint64_t{4} << 40U);
constexpr std::uint32_t MostSlots = 100'000;
constexpr Duration LongestTask = hours(1);

const SizeCodec MessageSize{OneByte, LargestMessage};
const SizeCodec MemorySize{OneMiB, LargestMemory};
const CountCodec<CoreCount> Cores{1, 4096};
const CountCodec<SlotCount> Slots{1, MostSlots};
const DurationCodec RunTime{milliseconds(1), LongestTask};
const NameCodec<DataCentreId> DataCentreName;

} // namespace

const KeyTable<DataCentre> &dataCentreKeys() {
  static const KeyTable<DataCentre> Table{
      optionalKey<DataCentre>("region", &DataCentre::Region,
                              NameCodec<std::string>{}),
      optionalKey<DataCentre>("closed", &DataCentre::Closed, FlagCodec{}),
  };
  return Table;
}

const KeyTable<Vm> &vmKeys() {
  static const KeyTable<Vm> Table{
      requiredKey<Vm>("data_centre", &Vm::DataCentre, DataCentreName),
      requiredKey<Vm>(
          "roles", &Vm::Roles,
          ListCodec<std::set<Role>, ChoiceCodec<Role>>{roleCodec()}),
      requiredKey<Vm>("peer_address", &Vm::Peer, EndpointCodec{}),
      optionalKey<Vm>("caller_address", &Vm::Caller, EndpointCodec{},
                      "required for an entry"),
      optionalKey<Vm>("admin_address", &Vm::Admin, EndpointCodec{}),
      optionalKey<Vm>("disk", &Vm::Disk, FlagCodec{}),
  };
  return Table;
}

const KeyTable<Rack> &rackKeys() {
  static const KeyTable<Rack> Table{
      requiredKey<Rack>("data_centre", &Rack::DataCentre, DataCentreName),
  };
  return Table;
}

const KeyTable<Service> &serviceKeys() {
  auto WorkerCores = [](auto &S) -> auto & { return S.Worker.Cores; };
  auto WorkerMemory = [](auto &S) -> auto & { return S.Worker.Memory; };
  auto TaskCores = [](auto &S) -> auto & { return S.LargestTask.Cores; };
  auto TaskMemory = [](auto &S) -> auto & { return S.LargestTask.Memory; };
  static const KeyTable<Service> Table{
      requiredKey<Service>("max_payload", &Service::MaxPayload, MessageSize),
      requiredKey<Service>("worker_cores", WorkerCores, Cores),
      requiredKey<Service>("worker_memory", WorkerMemory, MemorySize),
      optionalKey<Service>("largest_task_cores", TaskCores, Cores,
                           "as worker_cores"),
      optionalKey<Service>("largest_task_memory", TaskMemory, MemorySize,
                           "as worker_memory"),
      optionalKey<Service>("max_tasks_per_worker", &Service::MaxTasksPerWorker,
                           Slots, "as the worker announces"),
      optionalKey<Service>("expected_median", &Service::ExpectedMedian, RunTime,
                           "learned"),
      optionalKey<Service>("expected_p99", &Service::ExpectedP99, RunTime,
                           "learned"),
  };
  return Table;
}

const KeyTable<Team> &teamKeys() {
  static const KeyTable<Team> Table{
      optionalKey<Team>("weight", &Team::Weight,
                        CountCodec<std::uint32_t>{1, 1000}),
      optionalKey<Team>("quota_slots", &Team::QuotaSlots, Slots, "no limit"),
  };
  return Table;
}

const KeyTable<Caller> &callerKeys() {
  static const KeyTable<Caller> Table{
      requiredKey<Caller>("home", &Caller::Home, DataCentreName),
      requiredKey<Caller>("team", &Caller::Team, NameCodec<TeamId>{}),
      optionalKey<Caller>(
          "class", &Caller::Class,
          ChoiceCodec<CallerClass>{{{"urgent", CallerClass::Urgent},
                                    {"routine", CallerClass::Routine}}}),
      optionalKey<Caller>("closed", &Caller::Closed, FlagCodec{}),
  };
  return Table;
}

const KeyTable<Rules> &rulesKeys() {
  using KindList = ListCodec<std::set<RequestKind>, RequestKindCodec>;
  static const KeyTable<Rules> Table{
      optionalKey<Rules>("not_repeatable", &Rules::NotRepeatable, KindList{}),
      optionalKey<Rules>(
          "message_weight", &Rules::Weight,
          ChoiceCodec<MessageWeight>{{{"response", MessageWeight::Response},
                                      {"messages", MessageWeight::Messages}}}),
      optionalKey<Rules>("routine_share", &Rules::RoutineShare, PercentCodec{}),
      optionalKey<Rules>("pool_shards", &Rules::PoolShards,
                         CountCodec<std::uint32_t>{1, 64}),
      optionalKey<Rules>("retention", &Rules::Retention,
                         DurationCodec{minutes(1), hours(24 * 90)}),
  };
  return Table;
}

const KeyTable<Budgets> &budgetKeys() {
  static const KeyTable<Budgets> Table{
      optionalKey<Budgets>("retry", &Budgets::Retry, PercentCodec{}),
      optionalKey<Budgets>("hedge", &Budgets::Hedge, PercentCodec{},
                           "5%, or 1% with message_weight = messages"),
  };
  return Table;
}

const KeyTable<Limits> &limitKeys() {
  static const KeyTable<Limits> Table{
      optionalKey<Limits>("max_tasks_per_job", &Limits::MaxTasksPerJob,
                          CountCodec<std::uint32_t>{1, 200}),
      optionalKey<Limits>("max_body", &Limits::MaxBody, MessageSize),
      optionalKey<Limits>("max_queued_tasks", &Limits::MaxQueuedTasks,
                          CountCodec<std::uint32_t>{1, 10'000'000}),
      optionalKey<Limits>("max_queue_time", &Limits::MaxQueueTime,
                          DurationCodec{milliseconds(1), hours(1)}),
  };
  return Table;
}

const KeyTable<Timeouts> &timeoutKeys() {
  const DurationCodec Deadline{milliseconds(1), hours(1)};
  const DurationCodec Silence{milliseconds(100), minutes(1)};
  static const KeyTable<Timeouts> Table{
      optionalKey<Timeouts>("default_deadline", &Timeouts::DefaultDeadline,
                            Deadline),
      optionalKey<Timeouts>("max_deadline", &Timeouts::MaxDeadline, Deadline),
      optionalKey<Timeouts>("connect", &Timeouts::Connect,
                            DurationCodec{milliseconds(1), seconds(30)}),
      optionalKey<Timeouts>("upstream_silence", &Timeouts::UpstreamSilence,
                            Silence),
      optionalKey<Timeouts>("entry_silence", &Timeouts::EntrySilence, Silence),
  };
  return Table;
}

} // namespace geraniumbay::inventory
