//===- cborcodec.cpp - Calls between processes as CBOR --------------------===//
//
// Writes and reads values with libcbor's streaming functions, straight from and
// to Json::Value.
//
//===----------------------------------------------------------------------===//

#include "framework/rpc/internal/cborcodec.h"

#include "framework/errors/error.h"

#include <array>
#include <cbor.h>
#include <limits>

namespace geraniumbay::cbor_codec {

namespace {

constexpr int MaxDepth = 64;
/// The longest head of a value: its type and eight bytes.
constexpr std::size_t MaxHead = 9;

constexpr const char *MalformedCall = "malformed call";

template <typename Encode, typename... Arguments>
void writeHead(std::string &Out, Encode How, Arguments... Given) {
  std::array<unsigned char, MaxHead> Buffer{};
  std::size_t Size = How(Given..., Buffer.data(), Buffer.size());
  Out.append(Buffer.begin(), Buffer.begin() + Size);
}

void writeText(std::string &Out, std::string_view Text) {
  writeHead(Out, cbor_encode_string_start, Text.size());
  Out.append(Text);
}

std::string_view textOf(const Json::Value &Value) {
  const char *Begin = nullptr;
  const char *End = nullptr;
  Value.getString(&Begin, &End);
  return {Begin, static_cast<std::size_t>(End - Begin)};
}

void writeValue(std::string &Out, const Json::Value &Value) {
  switch (Value.type()) {
  case Json::nullValue:
    return writeHead(Out, cbor_encode_null);
  case Json::booleanValue:
    return writeHead(Out, cbor_encode_bool, Value.asBool());
  case Json::uintValue:
    return writeHead(Out, cbor_encode_uint, std::uint64_t{Value.asUInt64()});
  case Json::intValue: {
    std::int64_t Number = Value.asInt64();
    // CBOR writes a negative number as what it is below -1.
    return Number >= 0 ? writeHead(Out, cbor_encode_uint,
                                   static_cast<std::uint64_t>(Number))
                       : writeHead(Out, cbor_encode_negint,
                                   static_cast<std::uint64_t>(-(Number + 1)));
  }
  case Json::realValue:
    return writeHead(Out, cbor_encode_double, Value.asDouble());
  case Json::stringValue:
    return writeText(Out, textOf(Value));
  case Json::arrayValue:
    writeHead(Out, cbor_encode_array_start, std::size_t{Value.size()});
    for (const Json::Value &Each : Value)
      writeValue(Out, Each);
    return;
  case Json::objectValue:
    writeHead(Out, cbor_encode_map_start, std::size_t{Value.size()});
    for (auto It = Value.begin(); It != Value.end(); ++It) {
      const char *End = nullptr;
      const char *Name = It.memberName(&End);
      writeText(Out, {Name, static_cast<std::size_t>(End - Name)});
      writeValue(Out, *It);
    }
    return;
  }
}

/// The head of the next value, or all of it where it has no parts.
struct Item {
  enum class Kind { Unsupported, Scalar, Text, Array, Map };
  Kind What = Kind::Unsupported;
  Json::Value Scalar;
  std::string_view Text;
  std::size_t Size = 0;
};

void takeScalar(void *Into, Json::Value Value) {
  auto &Read = *static_cast<Item *>(Into);
  Read.What = Item::Kind::Scalar;
  Read.Scalar = std::move(Value);
}

void takeUnsigned(void *Into, std::uint64_t Number) {
  constexpr auto Largest =
      static_cast<std::uint64_t>(std::numeric_limits<Json::Int64>::max());
  // Numbers read from text are signed where they fit.
  takeScalar(Into, Number <= Largest
                       ? Json::Value(static_cast<Json::Int64>(Number))
                       : Json::Value(Json::UInt64(Number)));
}

void takeNegative(void *Into, std::uint64_t BelowMinusOne) {
  constexpr auto Largest =
      static_cast<std::uint64_t>(std::numeric_limits<Json::Int64>::max());
  if (BelowMinusOne <= Largest)
    takeScalar(Into, -1 - static_cast<Json::Int64>(BelowMinusOne));
}

void takeSized(void *Into, Item::Kind What, std::size_t Size) {
  auto &Read = *static_cast<Item *>(Into);
  Read.What = What;
  Read.Size = Size;
}

cbor_callbacks makeCallbacks() {
  cbor_callbacks Result = cbor_empty_callbacks;
  Result.uint8 = [](void *Into, std::uint8_t N) { takeUnsigned(Into, N); };
  Result.uint16 = [](void *Into, std::uint16_t N) { takeUnsigned(Into, N); };
  Result.uint32 = [](void *Into, std::uint32_t N) { takeUnsigned(Into, N); };
  Result.uint64 = [](void *Into, std::uint64_t N) { takeUnsigned(Into, N); };
  Result.negint8 = [](void *Into, std::uint8_t N) { takeNegative(Into, N); };
  Result.negint16 = [](void *Into, std::uint16_t N) { takeNegative(Into, N); };
  Result.negint32 = [](void *Into, std::uint32_t N) { takeNegative(Into, N); };
  Result.negint64 = [](void *Into, std::uint64_t N) { takeNegative(Into, N); };
  Result.float8 = [](void *Into, double N) { takeScalar(Into, N); };
  Result.null = [](void *Into) { takeScalar(Into, Json::Value()); };
  Result.boolean = [](void *Into, bool Set) { takeScalar(Into, Set); };
  Result.string = [](void *Into, cbor_data Text, std::size_t Size) {
    auto &Read = *static_cast<Item *>(Into);
    Read.What = Item::Kind::Text;
    Read.Text = {reinterpret_cast<const char *>(Text), Size}; // NOLINT
  };
  Result.array_start = [](void *Into, std::size_t Size) {
    takeSized(Into, Item::Kind::Array, Size);
  };
  Result.map_start = [](void *Into, std::size_t Size) {
    takeSized(Into, Item::Kind::Map, Size);
  };
  return Result;
}

/// Reads the head of the value that \p Bytes begin with, and moves past it.
Item takeItem(std::string_view &Bytes) {
  static const cbor_callbacks Callbacks = makeCallbacks();
  Item Read;
  cbor_decoder_result Result = cbor_stream_decode(
      reinterpret_cast<cbor_data>(Bytes.data()), Bytes.size(), // NOLINT
      &Callbacks, &Read);
  if (Result.status != CBOR_DECODER_FINISHED)
    return {};
  Bytes.remove_prefix(Result.read);
  return Read;
}

bool readValue(std::string_view &Bytes, Json::Value &Into, int Depth);

bool readArray(std::string_view &Bytes, std::size_t Size, Json::Value &Into,
               int Depth) {
  Into = Json::Value(Json::arrayValue);
  for (std::size_t I = 0; I < Size; ++I) {
    Json::Value Element;
    if (!readValue(Bytes, Element, Depth + 1))
      return false;
    Into.append(std::move(Element));
  }
  return true;
}

bool readMap(std::string_view &Bytes, std::size_t Size, Json::Value &Into,
             int Depth) {
  Into = Json::Value(Json::objectValue);
  for (std::size_t I = 0; I < Size; ++I) {
    Item Name = takeItem(Bytes);
    if (Name.What != Item::Kind::Text ||
        !readValue(Bytes, Into[std::string(Name.Text)], Depth + 1))
      return false;
  }
  return true;
}

bool readValue(std::string_view &Bytes, Json::Value &Into, int Depth) {
  if (Depth >= MaxDepth)
    return false;
  Item Read = takeItem(Bytes);
  switch (Read.What) {
  case Item::Kind::Unsupported:
    return false;
  case Item::Kind::Scalar:
    Into = std::move(Read.Scalar);
    return true;
  case Item::Kind::Text:
    Into = Json::Value(Read.Text.data(), Read.Text.data() + Read.Text.size());
    return true;
  case Item::Kind::Array:
    return readArray(Bytes, Read.Size, Into, Depth);
  case Item::Kind::Map:
    return readMap(Bytes, Read.Size, Into, Depth);
  }
  return false;
}

} // namespace

std::string encode(const Json::Value &Value) {
  std::string Out;
  writeValue(Out, Value);
  return Out;
}

std::optional<Json::Value> decode(std::string_view Bytes) {
  Json::Value Result;
  if (!readValue(Bytes, Result, 0) || !Bytes.empty())
    return std::nullopt;
  return Result;
}

std::string encodeCall(const std::string &Method, const Json::Value &Params) {
  std::string Out;
  writeHead(Out, cbor_encode_array_start, std::size_t{2});
  writeText(Out, Method);
  writeValue(Out, Params);
  return Out;
}

WireCall decodeCall(std::string_view Bytes) {
  WireCall Call;
  auto Read = decode(Bytes);
  Call.Valid =
      Read && Read->isArray() && Read->size() == 2 && (*Read)[0].isString();
  if (!Call.Valid) {
    Call.ErrorReply =
        encodeError({errorCodeName(ErrorCode::InvalidArgument), MalformedCall});
    return Call;
  }
  Call.Method = (*Read)[0].asString();
  Call.Params.swap((*Read)[1]);
  return Call;
}

std::string encodeResult(const Json::Value &Result) {
  std::string Out;
  writeHead(Out, cbor_encode_array_start, std::size_t{1});
  writeValue(Out, Result);
  return Out;
}

std::string encodeError(const WireError &Failure) {
  std::string Out;
  writeHead(Out, cbor_encode_array_start, std::size_t{2});
  writeText(Out, Failure.Kind);
  writeText(Out, Failure.Message);
  return Out;
}

WireReply decodeReply(std::string_view Bytes) {
  WireReply Reply;
  auto Read = decode(Bytes);
  if (!Read || !Read->isArray())
    return Reply;
  if (Read->size() == 1) {
    Reply.What = WireReply::Kind::Result;
    Reply.Result.swap((*Read)[0]);
  } else if (Read->size() == 2 && (*Read)[0].isString() &&
             (*Read)[1].isString()) {
    Reply.What = WireReply::Kind::Failure;
    Reply.Failure = {(*Read)[0].asString(), (*Read)[1].asString()};
  }
  return Reply;
}

} // namespace geraniumbay::cbor_codec
