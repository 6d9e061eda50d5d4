//===- problemlist.cpp - Collects problems while reading ------------------===//
//
// Bounding, ordering and wording of problems.
//
//===----------------------------------------------------------------------===//

#include "inventory/internal/problemlist.h"

#include <algorithm>
#include <tuple>

namespace geraniumbay::inventory {

void ProblemList::add(Problem Found) {
  if (Kept_.size() == MaxKept) {
    ++LeftOut_;
    return;
  }
  Keys_.insert(Found.Key);
  Kept_.push_back(std::move(Found));
}

std::size_t ProblemList::fileOrder(const std::string &File) const {
  auto Found = std::find(Files_.begin(), Files_.end(), File);
  return static_cast<std::size_t>(Found - Files_.begin());
}

Problems ProblemList::take() {
  auto Place = [this](const Problem &P) {
    return std::make_tuple(fileOrder(P.File), P.Line);
  };
  std::stable_sort(Kept_.begin(), Kept_.end(),
                   [&Place](const Problem &Left, const Problem &Right) {
                     return Place(Left) < Place(Right);
                   });
  if (LeftOut_ > 0)
    Kept_.push_back(
        {"", 0, "", std::to_string(LeftOut_) + " more problems not listed"});
  return std::move(Kept_);
}

std::string printable(std::string_view Text) {
  constexpr std::size_t MaxShown = 80;
  std::string Result;
  for (char C : Text.substr(0, MaxShown))
    Result += static_cast<unsigned char>(C) < ' ' || C == '\x7f' ? '?' : C;
  return Text.size() > MaxShown ? Result + "..." : Result;
}

std::string quoted(std::string_view Text) {
  return "\"" + printable(Text) + "\"";
}

} // namespace geraniumbay::inventory
