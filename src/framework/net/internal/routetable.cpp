//===- routetable.cpp - Which handler serves a path -----------------------===//
//
// Exact path first, then ever shorter prefixes.
//
//===----------------------------------------------------------------------===//

#include "framework/net/internal/routetable.h"

namespace geraniumbay {

void RouteTable::add(const std::string &Method, const std::string &Path,
                     IHttpServer::Handler Handle) {
  ByPath_[Path][Method] = std::move(Handle);
}

RouteMatch RouteTable::find(const std::string &Method,
                            const std::string &Path) const {
  RouteMatch Match;
  std::string Candidate = Path;
  while (!Candidate.empty()) {
    auto Found = ByPath_.find(Candidate);
    if (Found != ByPath_.end()) {
      Match.PathKnown = true;
      auto Handler = Found->second.find(Method);
      if (Handler != Found->second.end()) {
        Match.Handle = &Handler->second;
        return Match;
      }
    }
    // The next candidate is the longest prefix that ends in '/'.
    if (Candidate.back() == '/')
      Candidate.pop_back();
    std::size_t Slash = Candidate.rfind('/');
    if (Slash == std::string::npos)
      break;
    Candidate.resize(Slash + 1);
  }
  return Match;
}

} // namespace geraniumbay
