//===- error.cpp - Names of error kinds -----------------------------------===//
//
// The stable names under which error kinds appear in logs and answers.
//
//===----------------------------------------------------------------------===//

#include "framework/errors/error.h"

namespace geraniumbay {

const char *errorCodeName(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidArgument:
    return "invalid_argument";
  case ErrorCode::NotFound:
    return "not_found";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::Timeout:
    return "timeout";
  case ErrorCode::Refused:
    return "refused";
  case ErrorCode::Corrupt:
    return "corrupt";
  case ErrorCode::Io:
    return "io";
  case ErrorCode::Internal:
    return "internal";
  }
  return "internal";
}

} // namespace geraniumbay
