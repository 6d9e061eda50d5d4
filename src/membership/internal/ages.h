//===- ages.h - When each entry was heard, in one string --------*- C++ -*-===//
//
// In large systems every heartbeat says when its sender heard each entry: one
// character for each configured entry, in order of their ids. So a hundred
// entries cost a hundred bytes. Both ends must have the same list, which a
// digest of it tells.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INTERNAL_AGES_H
#define GERANIUMBAY_MEMBERSHIP_INTERNAL_AGES_H

#include "membership/internal/view.h"

#include <optional>
#include <string>

namespace geraniumbay::membership {

/// Whether \p State has more entries than a full mesh is used for.
bool isLarge(const View &State, const MembershipSettings &Settings);

/// Notes the digest of the ids of all configured entries, which is 32 bits
/// to stay short in a message, and this entry's place among them.
void noteList(View &State);

/// Returns the character of \p Age; ages are rounded up.
char ageChar(Duration Age);

/// Returns the age that \p Char stands for, or nothing for "not heard".
std::optional<Duration> ageOfChar(char Char);

/// Returns the ages of all entries of \p State, this one's included.
std::string writeAges(const View &State, Time Now);

/// Takes in the ages that a peer, which certainly ran at \p RanAt, sent.
void takeAges(View &State, const Heartbeat &Message, Time RanAt);

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INTERNAL_AGES_H
