//===- httpmessage.cpp - HTTP requests and responses ----------------------===//
//
// Looking up headers and reading addresses.
//
//===----------------------------------------------------------------------===//

#include "framework/net/httpmessage.h"

#include <algorithm>
#include <cctype>

namespace geraniumbay {

namespace {

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  auto SameChar = [](unsigned char A, unsigned char B) {
    return std::tolower(A) == std::tolower(B);
  };
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(), SameChar);
}

} // namespace

const std::string *findHeader(const HttpHeaders &Headers,
                              std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (equalsIgnoringCase(Header.Name, Name))
      return &Header.Value;
  return nullptr;
}

} // namespace geraniumbay
