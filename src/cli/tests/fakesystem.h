//===- fakesystem.h - A scripted system for commands ------------*- C++ -*-===//
//
// Answers the calls of commands from a script, on a paused clock.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_TESTS_FAKESYSTEM_H
#define GERANIUMBAY_CLI_TESTS_FAKESYSTEM_H

#include "cli/cli.h"
#include "framework/clock/manualclock.h"
#include "framework/json/json.h"

#include <gtest/gtest.h>

#include <deque>
#include <sstream>

namespace geraniumbay::cli {

/// A call that a command made.
struct SeenCall {
  Endpoint To;
  /// Method of a remote call, or path of an HTTP request.
  std::string Name;
  Json::Value Params;
  std::string Secret;
  /// The header Idempotency-Key of an HTTP request.
  std::string Key;
};

/// Serves both clients. Each call takes the next answer of its script; the last
/// one is repeated.
class FakeSystem : public IHttpClient {
public:
  using RpcAnswer = Outcome<Json::Value>;
  using HttpAnswer = Outcome<HttpResponse>;

  std::map<std::string, std::deque<RpcAnswer>> Rpc;
  std::map<std::string, std::deque<HttpAnswer>> Http;
  std::vector<SeenCall> Seen;
  std::vector<Command> Commands = standardCommands();
  ManualClock Clock;
  std::string Input;
  std::string Out;
  std::string Err;

  /// Runs a command line against this system.
  int run(const std::vector<std::string> &Arguments) {
    std::istringstream In(Input);
    std::ostringstream OutText;
    std::ostringstream ErrText;
    Random Draw(7);
    Dependencies Deps{
        [this](const std::string &Key) {
          return std::make_unique<Client>(*this, Key);
        },
        *this,
        Clock,
        [this](const auto &Done, Duration Limit) { return turn(Done, Limit); },
        Draw,
        In,
        false,
        "1.2.3"};
    int Code = runCommand(Arguments, Commands, Deps, OutText, ErrText);
    Out = OutText.str();
    Err = ErrText.str();
    return Code;
  }

  HttpCallId call(const Endpoint &To, HttpRequest Request, Duration,
                  Callback Done) override {
    auto Params = attempt([&] { return json::parse(Request.Body); });
    const std::string *Key = findHeader(Request.Headers, "idempotency-key");
    Seen.push_back({To, Request.Path, Params ? *Params : Json::Value(), "",
                    Key ? *Key : ""});
    Pending_.push_back(
        [Done, Answer = next(Http, Request.Path)] { Done(Answer); });
    return HttpCallId(Seen.size());
  }
  void cancel(HttpCallId) override {}

private:
  class Client : public IRpcClient {
  public:
    Client(FakeSystem &System, std::string Secret)
        : System_(System), Secret_(std::move(Secret)) {}

    void call(const Endpoint &To, const std::string &Method, Json::Value Params,
              Duration, Callback Done) override {
      System_.Seen.push_back({To, Method, std::move(Params), Secret_, ""});
      System_.Pending_.push_back(
          [Done, Answer = next(System_.Rpc, Method)] { Done(Answer); });
    }

  private:
    FakeSystem &System_;
    std::string Secret_;
  };

  template <typename AnswerT>
  static AnswerT next(std::map<std::string, std::deque<AnswerT>> &Scripts,
                      const std::string &Name) {
    std::deque<AnswerT> &Script = Scripts[Name];
    if (Script.empty())
      return Error{ErrorCode::Refused, "nothing listens"};
    AnswerT Answer = Script.front();
    if (Script.size() > 1)
      Script.pop_front();
    return Answer;
  }

  bool turn(const std::function<bool()> &Done, Duration Limit) {
    std::deque<std::function<void()>> Due = std::move(Pending_);
    Pending_.clear();
    for (const auto &Run : Due)
      Run();
    if (!Done())
      Clock.advance(Limit);
    return Done();
  }

  std::deque<std::function<void()>> Pending_;
};

/// Returns the JSON value of \p Text, which must be an object or array.
inline Json::Value object(const std::string &Text) {
  auto Parsed = attempt([&] { return json::parse(Text); });
  EXPECT_TRUE(Parsed.ok()) << Text;
  return Parsed ? *Parsed : Json::Value(Json::objectValue);
}

inline const std::string Root = GB_SOURCE_DIR;
inline const std::string Inventory = Root + "/examples/reclamos/inventory.ini";
inline const std::string Rules = Root + "/examples/reclamos/rules.ini";

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_TESTS_FAKESYSTEM_H
