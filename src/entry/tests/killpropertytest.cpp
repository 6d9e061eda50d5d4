//===- killpropertytest.cpp - Random failures of entries ------------------===//
//
// One submission is sent again and again to entries that are killed, frozen and
// cut off at random, over a network that loses, repeats and delays messages.
//
//===----------------------------------------------------------------------===//

#include "entry/tests/killworld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What happens next.
enum class Event : std::uint8_t {
  Submit,
  Kill,
  Restart,
  Freeze,
  Thaw,
  Cancel,
  ResetConnections,
  CutOff,
  Reconnect,
  StallDisks,
  ResumeDisks,
  HoldGrants,
  Grant,
  Overload,
  HoldAnswers,
  AnswerOne,
  AnswerAll,
  LoseSome,
  LoseNone,
  Last = LoseNone,
};

/// A step of a run: an event at an entry, and the time until the next.
struct Happening {
  Event What = Event::Submit;
  std::size_t Entry = 0;
  unsigned Pause = 0;
};

void showValue(const Happening &Value, std::ostream &Out) {
  Out << "{" << static_cast<int>(Value.What) << " at " << Value.Entry
      << ", then " << Value.Pause << " ms}";
}

rc::Gen<Happening> anyHappening() {
  constexpr auto Events = static_cast<unsigned>(Event::Last) + 1;
  // Every third is a submission.
  auto What =
      rc::gen::map(rc::gen::inRange(0U, Events + Events / 2), [](unsigned N) {
        return static_cast<Event>(N < Events ? N : 0);
      });
  auto Pause = rc::gen::map(rc::gen::inRange(0U, 15U),
                            [](unsigned Bits) { return (1U << Bits) - 1; });
  return rc::gen::build<Happening>(
      rc::gen::set(&Happening::What, What),
      rc::gen::set(&Happening::Entry,
                   rc::gen::inRange<std::size_t>(0, KillWorld::Entries)),
      rc::gen::set(&Happening::Pause, Pause));
}

/// Events of the entry itself.
void happenAt(KillWorld &World, const Happening &Next) {
  switch (Next.What) {
  case Event::Submit:
    World.submit(Next.Entry, milliseconds(1500));
    break;
  case Event::Kill:
    World.kill(Next.Entry);
    break;
  case Event::Freeze:
    World.freeze(Next.Entry);
    break;
  case Event::Cancel:
    World.entry(Next.Entry).Submissions.cancel(World.Request.Id);
    break;
  case Event::ResetConnections:
    World.entry(Next.Entry).Http.resetAll();
    break;
  case Event::Grant:
    World.HoldGrants = World.Overloaded = false;
    World.entry(Next.Entry).Pools.grantAll();
    break;
  default:
    break;
  }
}

/// Events of what is around the entries.
void happenAround(KillWorld &World, const Happening &Next) {
  switch (Next.What) {
  case Event::Thaw:
    World.thaw(Next.Entry);
    break;
  case Event::CutOff:
  case Event::Reconnect:
    World.cutFromLedgers(Next.Entry, Next.What == Event::CutOff);
    break;
  case Event::StallDisks:
  case Event::ResumeDisks:
    World.stallDisks(Next.What == Event::StallDisks);
    break;
  case Event::HoldGrants:
    World.HoldGrants = World.GrantAfterCancel = true;
    break;
  case Event::Overload:
    World.Overloaded = true;
    break;
  case Event::HoldAnswers:
    World.HoldAnswers = true;
    break;
  case Event::AnswerOne:
    World.answerOne();
    break;
  case Event::AnswerAll:
    World.HoldAnswers = false;
    World.answerAll();
    break;
  case Event::LoseSome:
    World.Net.Loss = World.Net.Repeats = World.Net.Late = 15;
    World.RefusePercent = 30;
    break;
  case Event::LoseNone:
    World.Net.Loss = World.Net.Repeats = World.Net.Late = 0;
    break;
  default:
    break;
  }
}

void happen(KillWorld &World, const Happening &Next) {
  if (Next.What == Event::Restart) {
    if (!World.runs(Next.Entry))
      World.restart(Next.Entry);
  } else {
    happenAround(World, Next);
    if (World.serves(Next.Entry))
      happenAt(World, Next);
  }
  World.Net.run(milliseconds(Next.Pause));
}

/// Whether the caller was given the answer of the submission, and not just told
/// to ask again or that nothing ran.
bool isFinal(const Told &One) {
  if (!One.Answer)
    return false;
  return One.Answer->complete() || (One.Answer->DidRun == Ran::Maybe &&
                                    One.Answer->RetryAfter == Duration::zero());
}

RC_GTEST_PROP(KillPropertyTest, OneTrueAnswerAndNoSecondStart, ()) {
  KillWorld World(*rc::gen::arbitrary<std::uint64_t>());
  auto Events = *rc::gen::container<std::vector<Happening>>(40, anyHappening());
  for (const Happening &Next : Events)
    happen(World, Next);
  World.heal();
  World.Net.run(seconds(15));
  Result Final = World.askUntilFinal(0);
  RC_ASSERT(World.violation() == std::string());
  RC_ASSERT(Final.RetryAfter == Duration::zero());
  RC_ASSERT(World.askUntilFinal(1) == Final);
  RC_ASSERT(World.violation() == std::string());
  RC_TAG(std::string(failureReasonName(Final.Reason)));
  for (const Told &One : World.All)
    if (isFinal(One))
      RC_ASSERT(*One.Answer == Final);
}

} // namespace
} // namespace geraniumbay::entry
