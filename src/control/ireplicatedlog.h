//===- ireplicatedlog.h - The log of the control group ----------*- C++ -*-===//
//
// How a module on a control VM puts batches into the replicated log and learns
// whether this VM leads.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_IREPLICATEDLOG_H
#define GERANIUMBAY_CONTROL_IREPLICATEDLOG_H

#include "control/configtypes.h"
#include "framework/net/endpoint.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace geraniumbay::control {

/// The leader's term. It grows with each leader, so it also serves as the
/// fencing token of what a leader orders.
using LeaderTerm = StrongId<struct LeaderTermTag, std::uint64_t>;

/// The log as this control VM sees it.
class IReplicatedLog {
public:
  virtual ~IReplicatedLog() = default;

  /// The term in which this VM leads and has all that was committed before, or
  /// nothing. The leadership may already be lost: see holdsLease().
  virtual std::optional<LeaderTerm> leadsIn() const = 0;
  /// Whether no other VM can lead at this moment: a majority has acknowledged
  /// this leader within its lease. Ask right before an effect that a later
  /// leader must not see.
  virtual bool holdsLease() const = 0;
  /// Where the leader's peers reach it, as far as this VM knows.
  virtual std::optional<Endpoint> leaderAddress() const = 0;
  /// The addresses of all members, this one included.
  virtual std::vector<Endpoint> memberAddresses() const = 0;

  /// Appends \p Batch (valid UTF-8) and calls \p Done once it is committed and
  /// applied. Unavailable: certainly not taken. Timeout: the outcome is
  /// unknown.
  virtual void append(std::string Batch,
                      std::function<void(Outcome<Done>)> Done) = 0;

  /// The configuration that is committed and applied here.
  virtual const ConfigSnapshot &configuration() const = 0;
  /// Proposes a change of the configuration on this VM.
  virtual void change(ConfigChange Change,
                      std::function<void(Outcome<ConfigAnswer>)> Answer) = 0;
  /// Calls \p Run after each event that may have changed any of the above.
  virtual void onChanged(std::function<void()> Run) = 0;
  /// Hands the leadership to another member, if this one leads and one is
  /// ready to take it.
  virtual void handOver() = 0;
  /// For a VM that is about to stop and does not lead any more: gives up its
  /// vote where the group can do without. Calls \p Done when that is settled,
  /// or after two seconds without an answer of the leader. The VM takes no part
  /// in the group from then on.
  virtual void giveUpVote(std::function<void()> Done) = 0;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_IREPLICATEDLOG_H
