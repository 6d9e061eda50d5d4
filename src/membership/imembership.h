//===- imembership.h - Who is alive and who owns a worker -------*- C++ -*-===//
//
// What other modules ask the membership.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_IMEMBERSHIP_H
#define GERANIUMBAY_MEMBERSHIP_IMEMBERSHIP_H

#include "membership/entryinfo.h"
#include "membership/poolsummary.h"

#include <functional>
#include <optional>
#include <vector>

namespace geraniumbay::membership {

/// What changed in the view.
enum class ChangeKind {
  StateChanged, ///< An entry has another EntryState.
  Restarted,    ///< An entry came with a higher incarnation.
  PeersChanged, ///< The configured list changed.
  TrustChanged, ///< trusted() changed.
};

/// One change of the view. Vm is this process for PeersChanged and
/// TrustChanged.
struct MembershipChange {
  ChangeKind Kind = ChangeKind::StateChanged;
  VmId Vm;

  bool operator==(const MembershipChange &) const = default;
};

/// The view of the entries that this process has.
class IMembership {
public:
  using Listener = std::function<void(const MembershipChange &)>;

  virtual ~IMembership() = default;

  /// This process's own entry in the list.
  virtual const Peer &self() const = 0;
  /// This process's incarnation. Final once trusted() was true for the first
  /// time: until then peers may report that they know a higher one.
  virtual Incarnation incarnation() const = 0;
  /// Whether the view may be acted on. False after a start or a freeze until
  /// the peers were heard (at most the time after which an entry is dead), and
  /// for good when a higher incarnation of this process was seen.
  virtual bool trusted() const = 0;
  /// All configured entries, this one included, in order of their ids.
  virtual std::vector<EntryInfo> entries() const = 0;
  /// The entries that are not dead.
  virtual std::vector<EntryInfo> aliveEntries() const = 0;
  /// The entry that owns \p Worker of \p DataCentre; nothing if there is none
  /// or the view is not trusted.
  virtual std::optional<Peer> ownerOf(const DataCentreId &DataCentre,
                                      const WorkerId &Worker) const = 0;
  /// All entries that may own workers of \p DataCentre now, at most
  /// pool_shards; empty if there is none or the view is not trusted.
  virtual std::vector<Peer> ownersOf(const DataCentreId &DataCentre) const = 0;
  /// What the owners of \p DataCentre said last about \p Service. Reports of
  /// dead entries are left out.
  virtual std::vector<PoolReport> summaries(const DataCentreId &DataCentre,
                                            const ServiceId &Service) const = 0;
  /// Calls \p OnChange after each change, for the life of the service.
  virtual void subscribe(Listener OnChange) = 0;
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_IMEMBERSHIP_H
