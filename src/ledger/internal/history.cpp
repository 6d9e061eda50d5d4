//===- history.cpp - Which view wrote which part of the log ---------------===//
//
// Keeps the spans of views and the last records.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/history.h"

#include <algorithm>
#include <cassert>

namespace geraniumbay::ledger {

void restart(History &Past, Position At) {
  Past.Spans = {At};
  Past.Last = At;
  Past.Tail.clear();
}

void extend(History &Past, const Record &Next) {
  assert(Next.At.Index == Past.Last.Index + 1 && "records have no gaps");
  if (Past.Spans.empty() || !Past.Spans.back().sameWriter(Next.At))
    Past.Spans.push_back(Next.At);
  Past.Last = Next.At;
  Past.Tail.push_back(Next);
  while (Past.Tail.size() > Past.MaxTail)
    Past.Tail.pop_front();
}

bool contains(const History &Past, Position At) {
  if (At == Past.Last)
    return true;
  if (At.Index > Past.Last.Index || Past.Spans.empty() ||
      At.Index < Past.Spans.front().Index)
    return false;
  return positionOf(Past, At.Index) == At;
}

bool keepsAfter(const History &Past, std::uint64_t Index) {
  return Index <= Past.Last.Index &&
         Past.Last.Index - Index <= Past.Tail.size();
}

std::vector<Record> recordsAfter(const History &Past, std::uint64_t Index,
                                 std::size_t Limit) {
  assert(keepsAfter(Past, Index) && "the records are kept");
  auto Count = static_cast<std::ptrdiff_t>(Past.Last.Index - Index);
  auto First = Past.Tail.end() - Count;
  auto Taken = std::min(Count, static_cast<std::ptrdiff_t>(Limit));
  return {First, First + Taken};
}

Position positionOf(const History &Past, std::uint64_t Index) {
  auto Behind = std::upper_bound(Past.Spans.begin(), Past.Spans.end(), Index,
                                 [](std::uint64_t Value, const Position &Span) {
                                   return Value < Span.Index;
                                 });
  if (Behind == Past.Spans.begin())
    return {Index, ViewNumber(0), 0};
  return {Index, std::prev(Behind)->View, std::prev(Behind)->Run};
}

} // namespace geraniumbay::ledger
