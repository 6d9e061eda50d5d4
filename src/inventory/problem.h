//===- problem.h - Mistakes found in a configuration text -------*- C++ -*-===//
//
// A reader of configuration collects every mistake with its place, so that an
// operator mends them in one go.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_PROBLEM_H
#define GERANIUMBAY_INVENTORY_PROBLEM_H

#include "framework/errors/error.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace geraniumbay::inventory {

/// One mistake and its place.
struct Problem {
  /// Empty if no single file is to blame.
  std::string File;
  /// Counted from 1; 0 if no single line is to blame.
  unsigned Line = 0;
  /// "section.key", "section", or empty.
  std::string Key;
  /// What is wrong and what is allowed.
  std::string Message;

  bool operator==(const Problem &) const = default;

  /// One line for people: "rules.ini:12: caller couriers.team: ...".
  std::string text() const;
};

using Problems = std::vector<Problem>;

/// Returns \p Found as one error (ErrorCode::InvalidArgument unless \p Code
/// says otherwise) with one line for each problem.
Error problemsAsError(const Problems &Found,
                      ErrorCode Code = ErrorCode::InvalidArgument);

/// A value that was read, or every mistake that kept it from being read.
template <typename T> class Checked {
public:
  Checked(T Value) : State_(std::in_place_index<0>, std::move(Value)) {}
  Checked(Problems Found) : State_(std::in_place_index<1>, std::move(Found)) {}

  bool ok() const { return State_.index() == 0; }
  explicit operator bool() const { return ok(); }

  /// The value; only if ok().
  T &value() { return std::get<0>(State_); }
  const T &value() const { return std::get<0>(State_); }
  const T &operator*() const { return value(); }
  const T *operator->() const { return &value(); }

  /// The mistakes, at least one; only if not ok().
  const Problems &problems() const { return std::get<1>(State_); }

  /// The value, or the mistakes as one Error.
  Outcome<T> outcome() const {
    return ok() ? Outcome<T>(value()) : Outcome<T>(problemsAsError(problems()));
  }

private:
  /// Invariant: the list of problems is not empty.
  std::variant<T, Problems> State_;
};

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_PROBLEM_H
