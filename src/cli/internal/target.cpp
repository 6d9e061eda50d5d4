//===- target.cpp - Whom a command talks to -------------------------------===//
//
// Flags go before settings.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/target.h"

#include "inventory/settings.h"
#include "inventory/textfile.h"

#include <sstream>

namespace geraniumbay::cli {
namespace {

using inventory::ProcessSettings;

constexpr std::size_t MaxSettingsBytes = 1U << 20U;

RetVal<std::vector<Endpoint>> readEndpoints(const std::string &List) {
  std::vector<Endpoint> Result;
  std::istringstream Parts(List);
  for (std::string Part; std::getline(Parts, Part, ',');) {
    std::size_t Start = Part.find_first_not_of(' ');
    std::size_t End = Part.find_last_not_of(' ');
    if (Start == std::string::npos)
      continue;
    std::string Text = Part.substr(Start, End - Start + 1);
    auto Address = attempt([&] { return parseEndpoint(Text); });
    if (!Address)
      return fail(ErrorCode::InvalidArgument,
                  "\"" + Text + "\": " + Address.error().Message);
    Result.push_back(*Address);
  }
  return Result;
}

/// Returns the settings that --settings names, or empty ones without it.
RetVal<ProcessSettings> namedSettings(const Options &Values) {
  if (Values.Settings.empty())
    return ProcessSettings{};
  BOOST_LEAF_AUTO(Text,
                  inventory::readTextFile(Values.Settings, MaxSettingsBytes));
  auto Parsed = inventory::parseSettings(Text, Values.Settings);
  if (!Parsed)
    return fail(inventory::problemsAsError(Parsed.problems()));
  return *Parsed;
}

RetVal<std::string> readSecret(const std::string &Flag,
                               const std::string &Setting) {
  const std::string &Path = Flag.empty() ? Setting : Flag;
  if (Path.empty())
    return std::string();
  return inventory::readSecretFile(Path);
}

/// Puts \p Flag's addresses, or else \p Setting, and the secret together.
RetVal<Target> makeTarget(const std::string &Flag,
                          std::vector<Endpoint> Setting,
                          const std::string &Secret, const char *Wanted) {
  BOOST_LEAF_AUTO(Addresses, readEndpoints(Flag));
  if (Addresses.empty())
    Addresses = std::move(Setting);
  if (Addresses.empty())
    return fail(ErrorCode::InvalidArgument,
                std::string("no address; wanted: ") + Wanted);
  return Target{std::move(Addresses), Secret};
}

std::vector<Endpoint> asList(const std::optional<Endpoint> &Address) {
  return Address ? std::vector<Endpoint>{*Address} : std::vector<Endpoint>{};
}

} // namespace

RetVal<Target> controlTarget(const Options &Values) {
  BOOST_LEAF_AUTO(Settings, namedSettings(Values));
  BOOST_LEAF_AUTO(Secret,
                  readSecret(Values.KeyFile, Settings.Security.PeerKeyFile));
  return makeTarget(Values.Control, Settings.Control.Peers, Secret,
                    "--control or --settings");
}

RetVal<Target> adminTarget(const Options &Values) {
  BOOST_LEAF_AUTO(Settings, namedSettings(Values));
  BOOST_LEAF_AUTO(
      Secret, readSecret(Values.TokenFile, Settings.Security.AdminTokenFile));
  return makeTarget(Values.Admin, asList(Settings.Process.Admin), Secret,
                    "--admin or --settings");
}

RetVal<Target> entryTarget(const Options &Values) {
  BOOST_LEAF_AUTO(Settings, namedSettings(Values));
  return makeTarget(Values.Entry, asList(Settings.Process.Caller), "",
                    "--entry or --settings");
}

} // namespace geraniumbay::cli
