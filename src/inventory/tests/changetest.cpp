//===- changetest.cpp - Tests of dangerous changes ------------------------===//
//
// Each dangerous step is refused, and the safe steps to the same end pass.
//
//===----------------------------------------------------------------------===//

#include "inventory/change.h"
#include "inventory/tests/sample.h"

#include <gtest/gtest.h>

namespace geraniumbay::inventory {
namespace {

const DataCentreId North("north");
const CallerId Courier("courier");

Vm withRoles(const char *Name, std::uint8_t Host, std::set<Role> Roles) {
  Vm Result{VmId(Name), North, std::move(Roles), {}, {}, {}, true};
  Result.Peer = {"10.0.9." + std::to_string(Host), 8000};
  return Result;
}

void put(Document &Doc, const Vm &Value) { Doc.Inv.Vms[Value.Name] = Value; }

/// The sample with a second ledger and two more control VMs in the north.
Document start() {
  Document Doc = valid(SampleText);
  put(Doc, withRoles("n2", 2, {Role::Ledger}));
  put(Doc, withRoles("n3", 3, {Role::Control}));
  put(Doc, withRoles("n4", 4, {Role::Control}));
  return Doc;
}

/// Expects that going from \p Old to \p New is refused once, at \p Key.
void expectRefused(const Document &Old, const Document &New,
                   const std::string &Key, const ChangeFacts &Facts = {}) {
  Problems Found = checkChange(Old, New, Facts);
  ASSERT_EQ(Found.size(), 1U) << problemsAsError(Found).Message;
  EXPECT_EQ(Found.front().Key, Key);
}

void expectSafe(const Document &Old, const Document &New,
                const ChangeFacts &Facts = {}) {
  Problems Found = checkChange(Old, New, Facts);
  EXPECT_TRUE(Found.empty()) << problemsAsError(Found).Message;
}

TEST(ChangeTest, OrdinaryChangesAreSafe) {
  Document New = start();
  New.Rule.Weight = MessageWeight::Response;
  New.Inv.Teams[TeamId("new")] = {TeamId("new"), 3, {}};
  put(New, withRoles("e9", 9, {Role::Entry}));
  New.Inv.Racks.clear();
  expectSafe(start(), New);
}

TEST(ChangeTest, DataCentreWithClaimsStays) {
  Document New = start();
  New.Inv.DataCentres.erase(North);
  expectRefused(start(), New, "data_centre north");
  Document Renamed = New;
  Renamed.Inv.DataCentres[DataCentreId("up")] = {DataCentreId("up"), "", false};
  expectRefused(start(), Renamed, "data_centre north");

  ChangeFacts Early{{{North, std::chrono::hours(23)}}, {}};
  expectRefused(start(), New, "data_centre north", Early);
  ChangeFacts Late{{{North, std::chrono::hours(24)}}, {}};
  expectSafe(start(), New, Late);
}

TEST(ChangeTest, LedgersAreReplacedOneAtATime) {
  Document Without = start();
  Without.Inv.Vms.erase(VmId("n2"));
  expectSafe(start(), Without);

  Document Swapped = Without;
  Swapped.Inv.Vms[VmId("n1")].Roles.erase(Role::Ledger);
  put(Swapped, withRoles("n5", 5, {Role::Ledger}));
  expectRefused(start(), Swapped, "data_centre north");

  Document Three = start();
  put(Three, withRoles("n5", 5, {Role::Ledger}));
  put(Three, withRoles("n6", 6, {Role::Ledger}));
  Document One = Three;
  One.Inv.Vms.erase(VmId("n5"));
  One.Inv.Vms.erase(VmId("n6"));
  expectRefused(Three, One, "data_centre north");
}

TEST(ChangeTest, LastEntryOfADataCentreStays) {
  Document New = start();
  New.Inv.Vms.erase(VmId("s1"));
  expectRefused(start(), New, "data_centre south");
  New.Inv.Racks.clear();
  New.Inv.DataCentres.erase(DataCentreId("south"));
  expectSafe(start(), New);
}

TEST(ChangeTest, ControlVmsChangeOneAtATime) {
  Document Two = start();
  Two.Inv.Vms.erase(VmId("n3"));
  expectSafe(start(), Two);
  Document One = Two;
  One.Inv.Vms.erase(VmId("n4"));
  expectRefused(start(), One, "vm");
  expectSafe(Two, One);
  Document Replaced = Two;
  put(Replaced, withRoles("n5", 5, {Role::Control}));
  expectRefused(start(), Replaced, "vm");
  expectSafe(Two, Replaced);
}

TEST(ChangeTest, VmsWithStateKeepTheirPlaceAndName) {
  Document Moved = start();
  Moved.Inv.Vms[VmId("n3")].DataCentre = DataCentreId("south");
  expectRefused(start(), Moved, "vm n3.data_centre");
  Document Readdressed = start();
  Readdressed.Inv.Vms[VmId("n2")].Peer.Port = 8001;
  expectRefused(start(), Readdressed, "vm n2.peer_address");
  Document Renamed = start();
  Renamed.Inv.Vms.erase(VmId("s1"));
  Vm Entry = start().Inv.Vms.at(VmId("s1"));
  Entry.Name = VmId("s2");
  put(Renamed, Entry);
  expectRefused(start(), Renamed, "vm s2");
}

TEST(ChangeTest, CallersKeepTheirHome) {
  Document Moved = start();
  Moved.Inv.Callers[Courier].Home = DataCentreId("south");
  expectRefused(start(), Moved, "caller courier.home");
  Document Gone = start();
  Gone.Inv.Callers.erase(Courier);
  expectRefused(start(), Gone, "caller courier");
  ChangeFacts Closed{{}, {{Courier, std::chrono::hours(24)}}};
  expectSafe(start(), Moved, Closed);
  expectSafe(start(), Gone, Closed);
}

} // namespace
} // namespace geraniumbay::inventory
