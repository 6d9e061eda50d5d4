//===- rpctest.cpp - Tests of remote calls over HTTP ----------------------===//

#include "framework/json/json.h"
#include "framework/random/random.h"
#include "framework/rpc/internal/cborcodec.h"
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

class RpcTest : public testing::TestWithParam<RpcEncoding> {
protected:
  RpcTest()
      : Server_(Net_.Server, "key"), Client_(Net_.Client, "key", GetParam()) {}

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

TEST_P(RpcTest, AMethodMayAnswerLater) {
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

TEST_P(RpcTest, AnErrorKeepsItsCodeAndMessage) {
  Server_.method("test.fail",
                 [](const Json::Value &, const IRpcServer::Reply &Answer) {
                   Answer(Error{ErrorCode::Conflict, "version 3 is older"});
                 });
  auto Result = call(Client_, "test.fail");
  ASSERT_FALSE(Result.ok());
  EXPECT_EQ(Result.error(), (Error{ErrorCode::Conflict, "version 3 is older"}));
}

TEST_P(RpcTest, AnUnknownMethodIsNotFound) {
  EXPECT_EQ(call(Client_, "test.none").error().Code, ErrorCode::NotFound);
}

TEST_P(RpcTest, APeerWithoutTheKeyIsRefused) {
  bool Ran = false;
  Server_.method("test.run", [&](const Json::Value &,
                                 const IRpcServer::Reply &) { Ran = true; });
  RpcClient Stranger(Net_.Client, "other", GetParam());
  EXPECT_FALSE(call(Stranger, "test.run").ok());
  EXPECT_FALSE(Ran);
}

INSTANTIATE_TEST_SUITE_P(Encodings, RpcTest,
                         testing::Values(RpcEncoding::JsonRpc,
                                         RpcEncoding::Cbor));

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

/// Any value of few levels, with the types that messages use.
Json::Value valueOf(Random &Rng, int Levels) {
  switch (Rng.below(Levels > 0 ? 8 : 6)) {
  case 0:
    return {};
  case 1:
    return Rng.below(2) == 0;
  case 2:
    return Json::Int64(-1 - static_cast<Json::Int64>(Rng.below(1'000'000)));
  case 3:
    return Json::UInt64(Rng.bits());
  case 4:
    return Json::Value(static_cast<double>(Rng.below(1000)) + 0.5);
  case 5:
    return std::string(Rng.below(300), 'x') + "\xc3\xa9";
  case 6: {
    Json::Value Array(Json::arrayValue);
    for (std::uint64_t I = Rng.below(5); I > 0; --I)
      Array.append(valueOf(Rng, Levels - 1));
    return Array;
  }
  default: {
    Json::Value Object(Json::objectValue);
    for (std::uint64_t I = Rng.below(5); I > 0; --I)
      Object["name" + std::to_string(I)] = valueOf(Rng, Levels - 1);
    return Object;
  }
  }
}

RC_GTEST_PROP(CborCodecTest, AValueComesBackAsFromJsonText,
              (std::uint64_t Seed)) {
  Random Rng(Seed);
  Json::Value Array(Json::arrayValue);
  Array.append(valueOf(Rng, 4));
  auto FromText = attempt([&] { return json::parse(json::write(Array)); });
  auto FromCbor = cbor_codec::decode(cbor_codec::encode(Array));
  RC_ASSERT(FromText.ok() && FromCbor.has_value());
  RC_ASSERT(*FromCbor == *FromText);
}

RC_GTEST_PROP(CborCodecTest, RandomBytesNeverCrash,
              (const std::string &Bytes)) {
  cbor_codec::decodeCall(Bytes);
  cbor_codec::decodeReply(Bytes);
}

RC_GTEST_PROP(CborCodecTest, CutOffCallsAreNoCalls, (unsigned Cut)) {
  Json::Value Params(Json::objectValue);
  Params["a"]["b"] = "c";
  std::string Bytes = cbor_codec::encodeCall("m.n", Params);
  RC_ASSERT(!cbor_codec::decodeCall(Bytes.substr(0, Cut % Bytes.size())).Valid);
}

TEST(CborCodecTest, WhatNestsTooDeepIsRefused) {
  constexpr char ArrayOfOne = '\x81';
  EXPECT_FALSE(cbor_codec::decode(std::string(100000, ArrayOfOne)));
}

TEST(CborCodecTest, AClaimedLengthReservesNothing) {
  EXPECT_FALSE(cbor_codec::decode("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"));
}

} // namespace
} // namespace geraniumbay
