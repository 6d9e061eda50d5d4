//===- rules.h - The rules on top of the inventory --------------*- C++ -*-===//
//
// What the operators decide beyond the register: what must never repeat, what
// matters more under load, budgets, limits and timeouts. The callers' classes
// and the teams' quotas stand with the callers and teams.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_RULES_H
#define GERANIUMBAY_INVENTORY_RULES_H

#include "framework/clock/iclock.h"
#include "framework/types/strongid.h"
#include "inventory/units.h"

#include <set>
#include <string>
#include <string_view>

namespace geraniumbay::inventory {

/// A kind of request of a service, as callers name it.
struct RequestKind {
  ServiceId Service;
  /// Empty for all requests of the service.
  std::string Request;

  auto operator<=>(const RequestKind &) const = default; // NOLINT
  bool operator==(const RequestKind &) const = default;
};

/// Which of the two measures a deployment weighs more.
enum class MessageWeight {
  Response, ///< Response time: spend messages to answer sooner.
  Messages, ///< Wasted messages: wait rather than send twice.
};

/// How many extra messages repeatable requests may cost, as shares of the
/// first tries.
struct Budgets {
  Percent Retry{10};
  /// If unset in the document: 5 with MessageWeight::Response, else 1.
  Percent Hedge{5};

  bool operator==(const Budgets &) const = default;
};

/// Bounds on what callers may ask for. A request beyond one is not run.
struct Limits {
  std::uint32_t MaxTasksPerJob = 200;
  ByteCount MaxBody{8U << 20U};
  /// The most tasks that wait in one pool; more are shed at once.
  std::uint32_t MaxQueuedTasks = 20'000;
  /// The longest that a task may wait for a slot.
  Duration MaxQueueTime = std::chrono::seconds(10);

  bool operator==(const Limits &) const = default;
};

/// How long each step may take.
struct Timeouts {
  /// The deadline of a request that names none.
  Duration DefaultDeadline = std::chrono::seconds(30);
  /// The latest deadline that a caller may ask for; not below the default.
  Duration MaxDeadline = std::chrono::minutes(5);
  Duration Connect = std::chrono::milliseconds(250);
  /// An upstream that was not heard for so long gets no new work.
  Duration UpstreamSilence = std::chrono::seconds(3);
  /// An entry that was not heard for so long is taken for gone.
  Duration EntrySilence = std::chrono::seconds(2);

  bool operator==(const Timeouts &) const = default;
};

/// All rules.
struct Rules {
  std::set<RequestKind> NotRepeatable;
  MessageWeight Weight = MessageWeight::Response;
  /// The share of slots that routine work gets while urgent work waits, so
  /// that it never starves.
  Percent RoutineShare{5};
  /// How many entries of a data centre own pools of one service.
  std::uint32_t PoolShards = 1;
  /// How long claims and answers are kept. A resubmission after it is refused.
  Duration Retention = std::chrono::hours(24);
  Budgets Budget;
  Limits Limit;
  Timeouts Timeout;

  bool operator==(const Rules &) const = default;
};

/// Whether \p Request of \p Service may run more than once. A request without
/// a name counts as not repeatable if the service has any that is not.
bool isRepeatable(const Rules &Rules, const ServiceId &Service,
                  std::string_view Request);

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_RULES_H
