//===- problem.cpp - Mistakes found in a configuration text ---------------===//
//
// The wording of problems for people.
//
//===----------------------------------------------------------------------===//

#include "inventory/problem.h"

namespace geraniumbay::inventory {

std::string Problem::text() const {
  std::string Result;
  if (!File.empty())
    Result += File + ":";
  if (Line > 0)
    Result += std::to_string(Line) + ":";
  if (!Result.empty())
    Result += " ";
  if (!Key.empty())
    Result += Key + ": ";
  return Result + Message;
}

Error problemsAsError(const Problems &Found, ErrorCode Code) {
  std::string Message;
  for (const Problem &P : Found) {
    if (!Message.empty())
      Message += '\n';
    Message += P.text();
  }
  return Error{Code, Message};
}

} // namespace geraniumbay::inventory
