//===- digest.cpp - Digests of submissions --------------------------------===//
//
// SHA-256 by OpenSSL.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/digest.h"

#include <array>
#include <cassert>
#include <openssl/evp.h>

namespace geraniumbay::entry {

namespace {

/// Hexadecimal digits of a task prefix: 128 bits.
constexpr std::size_t PrefixLength = 32;

/// Appends \p Part so that no two lists of parts give the same text.
void appendPart(std::string &Text, const std::string &Part) {
  Text += std::to_string(Part.size());
  Text += ':';
  Text += Part;
}

} // namespace

std::string sha256Hex(std::string_view Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Bytes{};
  unsigned Size = 0;
  [[maybe_unused]] int Done = EVP_Digest(Text.data(), Text.size(), Bytes.data(),
                                         &Size, EVP_sha256(), nullptr);
  assert(Done == 1 && "SHA-256 is always there");
  constexpr const char *Digits = "0123456789abcdef";
  std::string Hex;
  for (unsigned I = 0; I < Size; ++I) {
    Hex += Digits[Bytes[I] >> 4U];
    Hex += Digits[Bytes[I] & 0xFU];
  }
  return Hex;
}

std::string requestDigest(const Submission &Request) {
  std::string Text;
  appendPart(Text, Request.Caller.value());
  appendPart(Text, Request.Service.value());
  for (const std::string &Payload : Request.Payloads)
    appendPart(Text, Payload);
  return sha256Hex(Text);
}

std::string taskPrefix(const Submission &Request) {
  return sha256Hex(Request.Id.value()).substr(0, PrefixLength);
}

} // namespace geraniumbay::entry
