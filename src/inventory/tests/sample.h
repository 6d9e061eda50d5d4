//===- sample.h - A small valid document for tests --------------*- C++ -*-===//
//
// A document of two data centres that tests change one line of.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_TESTS_SAMPLE_H
#define GERANIUMBAY_INVENTORY_TESTS_SAMPLE_H

#include "inventory/document.h"

#include <gtest/gtest.h>
#include <string>

namespace geraniumbay::inventory {

/// A valid document; the numbers of its lines are used by tests.
inline const std::string SampleText = R"([data_centre north]
region = one
[data_centre south]
[vm n1]
data_centre = north
roles = entry, ledger, control
peer_address = 10.0.0.1:8000
caller_address = 10.0.0.1:7000
disk = yes
[vm s1]
data_centre = south
roles = entry
peer_address = 10.0.1.1:8000
caller_address = 10.0.1.1:7000
[rack r1]
data_centre = south
[service quote]
max_payload = 64KiB
worker_cores = 32
worker_memory = 64GiB
[team desk]
quota_slots = 100
[caller courier]
home = north
team = desk
class = urgent
[rules]
not_repeatable = quote/payout
message_weight = messages
retention = 24h
)";

/// Returns SampleText with \p From replaced by \p To, once.
inline std::string sampleWith(const std::string &From, const std::string &To) {
  std::string Text = SampleText;
  std::size_t Place = Text.find(From);
  EXPECT_NE(Place, std::string::npos) << From;
  return Text.replace(Place, From.size(), To);
}

/// Returns the document that \p Text gives; it must be valid.
inline Document valid(const std::string &Text) {
  Checked<Document> Parsed = parseDocument(Text, "sample.ini");
  EXPECT_TRUE(Parsed.ok())
      << (Parsed.ok() ? "" : problemsAsError(Parsed.problems()).Message);
  return Parsed.ok() ? *Parsed : Document{};
}

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_TESTS_SAMPLE_H
