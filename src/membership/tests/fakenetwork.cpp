//===- fakenetwork.cpp - RPC between nodes of a test ----------------------===//
//
// Delivery of messages between the fake nodes.
//
//===----------------------------------------------------------------------===//

#include "membership/tests/fakenetwork.h"

namespace geraniumbay::membership {

void FakeNetwork::send(const Endpoint &From, const Endpoint &To,
                       const std::function<void(FakeNode &)> &Deliver) {
  if (happens(Faults.Loss))
    return;
  int Copies = happens(Faults.Duplicates) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    Duration Delay =
        happens(Faults.Late)
            ? Duration(Numbers_.below(10'000'000))
            : Duration(500 + static_cast<std::int64_t>(Numbers_.below(4000)));
    Deliveries_.after(Delay, [this, From, To, Deliver] {
      auto Found = Nodes_.find(To);
      if (Found == Nodes_.end() || Cuts_.contains(std::minmax(From, To)))
        return;
      auto Node = Found->second;
      Node->deliver([Node, Deliver] { Deliver(*Node); });
    });
  }
}

void FakeNetwork::run(Duration Length) {
  constexpr Duration Step = std::chrono::milliseconds(2);
  for (Duration Passed{0}; Passed < Length; Passed += Step) {
    Clock.advance(Step);
    Deliveries_.runDue();
    auto Running = Nodes_;
    for (auto &[At, Node] : Running) {
      if (!Node->Frozen)
        Node->Timers.runDue();
    }
  }
}

void FakeNode::call(const Endpoint &To, const std::string &Method,
                    Json::Value Params, Duration Timeout, Callback Done) {
  Incoming From{At_, ++LastCall_};
  Running_[From.Call] = std::move(Done);
  Network_.BytesSent[At_] += json::write(Params).size();
  ++Network_.MessagesSent[At_];
  Timers.after(Timeout, [this, Call = From.Call] {
    finish(Call, Error{ErrorCode::Timeout, "no answer"});
  });
  Network_.send(At_, To, [From, Method, Params](FakeNode &Node) {
    Node.serve(From, Method, Params);
  });
}

void FakeNode::serve(const Incoming &From, const std::string &Method,
                     const Json::Value &Params) {
  std::weak_ptr<FakeNode> Weak = weak_from_this();
  Methods_.at(Method)(Params, [Weak, From](const Outcome<Json::Value> &Result) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    if (Result)
      Self->Network_.BytesSent[Self->At_] += json::write(*Result).size();
    ++Self->Network_.MessagesSent[Self->At_];
    Self->Network_.send(Self->At_, From.Caller,
                        [Call = From.Call, Result](FakeNode &Node) {
                          Node.finish(Call, Result);
                        });
  });
}

void FakeNode::finish(std::uint64_t Call, const Outcome<Json::Value> &Result) {
  auto Found = Running_.find(Call);
  if (Found == Running_.end())
    return;
  Callback Done = std::move(Found->second);
  Running_.erase(Found);
  Done(Result);
}

} // namespace geraniumbay::membership
