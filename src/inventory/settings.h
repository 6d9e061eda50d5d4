//===- settings.h - The settings of one process -----------------*- C++ -*-===//
//
// What a process must know before it can ask anyone: who it is, where it
// listens, where its files are and where the control VMs are. Read once, at the
// start, from the process's own INI file.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_SETTINGS_H
#define GERANIUMBAY_INVENTORY_SETTINGS_H

#include "framework/clock/iclock.h"
#include "framework/log/log.h"
#include "framework/net/endpoint.h"
#include "inventory/inventory.h"
#include "inventory/problem.h"
#include "inventory/role.h"
#include "inventory/units.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumbay::inventory {

/// Who the process is and where it listens.
struct ProcessIdentity {
  VmId Vm;
  DataCentreId DataCentre;
  /// Never empty.
  std::set<Role> Roles;
  Endpoint Peer;
  /// Set if the process is an entry.
  std::optional<Endpoint> Caller;
  std::optional<Endpoint> Admin;
  /// Not empty if the process is a ledger or control.
  std::string DataFolder;
  /// How long a planned stop waits for requests in flight.
  Duration DrainTimeout = std::chrono::seconds(30);

  bool operator==(const ProcessIdentity &) const = default;
};

/// How the process finds the configuration.
struct ControlSettings {
  /// Peer addresses of the control VMs; at least one.
  std::vector<Endpoint> Peers;
  /// Files with the first document of a new system (see readSources()); empty
  /// if this process never founds one.
  std::vector<std::string> BootstrapDocuments;

  bool operator==(const ControlSettings &) const = default;
};

struct LogSettings {
  LogLevel Level = LogLevel::Info;
  /// Standard error if empty.
  std::string File;

  bool operator==(const LogSettings &) const = default;
};

struct TraceSettings {
  /// No traces are written if empty.
  std::string File;
  /// The share of requests without a trace of their own that are traced.
  Percent Sample{1};

  bool operator==(const TraceSettings &) const = default;
};

/// Files with secrets; each must be readable by its owner only.
struct SecuritySettings {
  /// Token that the admin interface asks for; empty only on loopback.
  std::string AdminTokenFile;
  /// Key that the system's processes share; empty only on loopback.
  std::string PeerKeyFile;
  /// TLS of the admin interface; both or neither.
  std::string AdminCertificateFile;
  std::string AdminPrivateKeyFile;

  bool operator==(const SecuritySettings &) const = default;
};

/// Bounds on what the listeners take.
struct ListenerLimits {
  std::uint32_t MaxConnections = 4096;
  ByteCount MaxBody{8U << 20U};
  /// How long a client may take to send a request.
  Duration RequestTimeout = std::chrono::seconds(10);
  /// How long an idle connection stays open.
  Duration IdleTimeout = std::chrono::seconds(60);

  bool operator==(const ListenerLimits &) const = default;
};

/// All settings of one process.
struct ProcessSettings {
  ProcessIdentity Process;
  ControlSettings Control;
  LogSettings Log;
  TraceSettings Trace;
  SecuritySettings Security;
  ListenerLimits Limits;

  bool operator==(const ProcessSettings &) const = default;

  bool hasRole(Role Wanted) const { return Process.Roles.contains(Wanted); }
};

/// Reads \p Text, reporting problems under \p File.
Checked<ProcessSettings> parseSettings(std::string_view Text,
                                       const std::string &File);

/// Returns where \p Settings differ from what \p Inv says of the VM: data
/// centre, roles, addresses and the control VMs' addresses.
Problems compareWithInventory(const ProcessSettings &Settings,
                              const Inventory &Inv);

/// Returns what is wrong with the secret files that \p Settings name: missing,
/// readable by others, or too short (see textfile.h).
Problems checkSecretFiles(const ProcessSettings &Settings);

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_SETTINGS_H
