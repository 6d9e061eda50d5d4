//===- rpctest.cpp - Tests of JSON-RPC over HTTP --------------------------===//

#include "framework/rpc/internal/jsonrpccodec.h"
#include "framework/rpc/rpcclient.h"
#include "framework/rpc/rpcserver.h"
#include "framework/tests/nettestutil.h"

#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>

namespace geraniumbay {
namespace {

constexpr Duration LongTimeout = std::chrono::seconds(10);

class RpcTest : public testing::Test {
protected:
  RpcTest() : Server_(Net_.Server, "key"), Client_(Net_.Client, "key") {}

  Outcome<Json::Value> call(RpcClient &From, const std::string &Method) {
    Json::Value Params(Json::objectValue);
    Params["n"] = 7;
    std::optional<Outcome<Json::Value>> Result;
    From.call(Net_.Address, Method, Params, LongTimeout,
              [&](const Outcome<Json::Value> &Got) { Result = Got; });
    Net_.runUntil([&] { return Result.has_value(); });
    return *Result;
  }

  NetFixture Net_;
  RpcServer Server_;
  RpcClient Client_;
};

TEST_F(RpcTest, AMethodMayAnswerLater) {
  Server_.method("test.add", [&](const Json::Value &Params,
                                 const IRpcServer::Reply &Answer) {
    Json::Value Result(Json::objectValue);
    Result["sum"] = Params["n"].asInt() + 1;
    Net_.Loop.timers().after(std::chrono::milliseconds(5),
                             [=] { Answer(Result); });
  });
  auto Result = call(Client_, "test.add");
  ASSERT_TRUE(Result.ok());
  EXPECT_EQ((*Result)["sum"].asInt(), 8);
}

TEST_F(RpcTest, AnErrorKeepsItsCodeAndMessage) {
  Server_.method("test.fail",
                 [](const Json::Value &, const IRpcServer::Reply &Answer) {
                   Answer(Error{ErrorCode::Conflict, "version 3 is older"});
                 });
  auto Result = call(Client_, "test.fail");
  ASSERT_FALSE(Result.ok());
  EXPECT_EQ(Result.error(), (Error{ErrorCode::Conflict, "version 3 is older"}));
}

TEST_F(RpcTest, AnUnknownMethodIsNotFound) {
  EXPECT_EQ(call(Client_, "test.none").error().Code, ErrorCode::NotFound);
}

TEST_F(RpcTest, APeerWithoutTheKeyIsRefused) {
  bool Ran = false;
  Server_.method("test.run", [&](const Json::Value &,
                                 const IRpcServer::Reply &) { Ran = true; });
  RpcClient Stranger(Net_.Client, "other");
  EXPECT_FALSE(call(Stranger, "test.run").ok());
  EXPECT_FALSE(Ran);
}

RC_GTEST_PROP(JsonRpcCodecTest, RandomBytesNeverCrash,
              (const std::string &Text)) {
  jsonrpc_codec::decodeCall(Text);
  jsonrpc_codec::decodeReply(Text);
}

RC_GTEST_PROP(JsonRpcCodecTest, CutOffCallsNeverCrash, (unsigned Cut)) {
  Json::Value Params(Json::objectValue);
  Params["a"]["b"] = "c";
  std::string Text = jsonrpc_codec::encodeCall("m.n", Params);
  std::string Part = Text.substr(0, Cut % Text.size());
  RC_ASSERT(!jsonrpc_codec::decodeCall(Part).Valid);
}

TEST(JsonRpcCodecTest, DeepTextIsRefused) {
  EXPECT_FALSE(jsonrpc_codec::decodeCall(std::string(100000, '[')).Valid);
}

} // namespace
} // namespace geraniumbay
