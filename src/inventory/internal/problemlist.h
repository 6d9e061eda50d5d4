//===- problemlist.h - Collects problems while reading ----------*- C++ -*-===//
//
// Where the readers of one document put what they find. The number kept is
// bounded, so that a hostile text costs no more than a bad one.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_INTERNAL_PROBLEMLIST_H
#define GERANIUMBAY_INVENTORY_INTERNAL_PROBLEMLIST_H

#include "inventory/problem.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumbay::inventory {

/// The problems of one document, in the order of its files and lines.
class ProblemList {
public:
  static constexpr std::size_t MaxKept = 1000;

  /// Files are listed in the order in which they are begun.
  void beginFile(const std::string &File) { Files_.push_back(File); }
  /// Adds \p Found, or only counts it when enough are kept.
  void add(Problem Found);
  bool empty() const { return Kept_.empty(); }
  /// Whether a problem of \p Key was added; what follows from it is no news.
  bool reported(const std::string &Key) const { return Keys_.contains(Key); }
  /// Returns all problems sorted by place, and says if some were left out.
  Problems take();

private:
  std::size_t fileOrder(const std::string &File) const;

  std::vector<std::string> Files_;
  /// Invariant: at most MaxKept problems.
  Problems Kept_;
  /// The keys of Kept_.
  std::set<std::string> Keys_;
  std::size_t LeftOut_ = 0;
};

/// Returns \p Text for a message: shortened, without control characters.
std::string printable(std::string_view Text);

/// Returns \p Text like printable(), in quotes.
std::string quoted(std::string_view Text);

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_INTERNAL_PROBLEMLIST_H
