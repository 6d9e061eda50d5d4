//===- timerqueue.cpp - Timers in order of their time ---------------------===//
//
// The ordered queue of timers.
//
//===----------------------------------------------------------------------===//

#include "framework/clock/timerqueue.h"

namespace geraniumbay {

TimerId TimerQueue::after(Duration Delay, Callback Run) {
  TimerId Id(++LastId_);
  Time Due = Clock_.now() + Delay;
  Queue_.emplace(Key(Due, Id), std::move(Run));
  DueById_.emplace(Id, Due);
  return Id;
}

void TimerQueue::cancel(TimerId Id) {
  auto Found = DueById_.find(Id);
  if (Found == DueById_.end())
    return;
  Queue_.erase(Key(Found->second, Id));
  DueById_.erase(Found);
}

std::size_t TimerQueue::runDue() {
  Time Now = Clock_.now();
  TimerId LastBefore(LastId_);
  std::size_t Count = 0;
  auto Next = Queue_.begin();
  while (Next != Queue_.end() && Next->first.first <= Now) {
    if (Next->first.second > LastBefore) {
      ++Next;
      continue;
    }
    Callback Run = std::move(Next->second);
    DueById_.erase(Next->first.second);
    Queue_.erase(Next);
    Run();
    ++Count;
    // The callback may have changed the queue, so start from its head again.
    Next = Queue_.begin();
  }
  return Count;
}

std::optional<Time> TimerQueue::nextDue() const {
  if (Queue_.empty())
    return std::nullopt;
  return Queue_.begin()->first.first;
}

} // namespace geraniumbay
