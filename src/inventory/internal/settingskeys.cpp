//===- settingskeys.cpp - The tables of the settings' sections ------------===//
//
// Which keys each section has, in the order of the page of the keys.
//
//===----------------------------------------------------------------------===//

#include "inventory/internal/settingskeys.h"

namespace geraniumbay::inventory {

using std::chrono::milliseconds;
using std::chrono::minutes;

const KeyTable<ProcessIdentity> &processKeys() {
  using Identity = ProcessIdentity;
  static const KeyTable<Identity> Table{
      requiredKey<Identity>("vm", &Identity::Vm, NameCodec<VmId>{}),
      requiredKey<Identity>("data_centre", &Identity::DataCentre,
                            NameCodec<DataCentreId>{}),
      requiredKey<Identity>(
          "roles", &Identity::Roles,
          ListCodec<std::set<Role>, ChoiceCodec<Role>>{roleCodec()}),
      requiredKey<Identity>("peer_address", &Identity::Peer, EndpointCodec{}),
      optionalKey<Identity>("caller_address", &Identity::Caller,
                            EndpointCodec{}, "required for an entry"),
      optionalKey<Identity>("admin_address", &Identity::Admin, EndpointCodec{},
                            "no admin interface"),
      optionalKey<Identity>("data_folder", &Identity::DataFolder, PathCodec{},
                            "required for a ledger or control"),
      optionalKey<Identity>("drain_timeout", &Identity::DrainTimeout,
                            DurationCodec{milliseconds(100), minutes(60)}),
  };
  return Table;
}

const KeyTable<ControlSettings> &controlKeys() {
  using PeerList = ListCodec<std::vector<Endpoint>, EndpointCodec>;
  using PathList = ListCodec<std::vector<std::string>, PathCodec>;
  static const KeyTable<ControlSettings> Table{
      requiredKey<ControlSettings>("peers", &ControlSettings::Peers,
                                   PeerList{}),
      optionalKey<ControlSettings>("bootstrap_documents",
                                   &ControlSettings::BootstrapDocuments,
                                   PathList{}),
  };
  return Table;
}

const KeyTable<LogSettings> &logKeys() {
  static const KeyTable<LogSettings> Table{
      optionalKey<LogSettings>(
          "level", &LogSettings::Level,
          ChoiceCodec<LogLevel>{{{"debug", LogLevel::Debug},
                                 {"info", LogLevel::Info},
                                 {"warning", LogLevel::Warning},
                                 {"error", LogLevel::Error}}}),
      optionalKey<LogSettings>("file", &LogSettings::File, PathCodec{},
                               "standard error"),
  };
  return Table;
}

const KeyTable<TraceSettings> &traceKeys() {
  static const KeyTable<TraceSettings> Table{
      optionalKey<TraceSettings>("file", &TraceSettings::File, PathCodec{},
                                 "no traces"),
      optionalKey<TraceSettings>("sample", &TraceSettings::Sample,
                                 PercentCodec{}),
  };
  return Table;
}

const KeyTable<SecuritySettings> &securityKeys() {
  using Security = SecuritySettings;
  static const KeyTable<Security> Table{
      optionalKey<Security>("admin_token_file", &Security::AdminTokenFile,
                            PathCodec{}, "none; required beyond loopback"),
      optionalKey<Security>("peer_key_file", &Security::PeerKeyFile,
                            PathCodec{}, "none; required beyond loopback"),
      optionalKey<Security>("admin_certificate_file",
                            &Security::AdminCertificateFile, PathCodec{},
                            "no TLS"),
      optionalKey<Security>("admin_private_key_file",
                            &Security::AdminPrivateKeyFile, PathCodec{},
                            "no TLS"),
  };
  return Table;
}

const KeyTable<ListenerLimits> &listenerKeys() {
  const DurationCodec Wait{milliseconds(100), minutes(60)};
  static const KeyTable<ListenerLimits> Table{
      optionalKey<ListenerLimits>("max_connections",
                                  &ListenerLimits::MaxConnections,
                                  CountCodec<std::uint32_t>{1, 1'000'000}),
      optionalKey<ListenerLimits>(
          "max_body", &ListenerLimits::MaxBody,
          SizeCodec{ByteCount(1U << 10U), ByteCount(64U << 20U)}),
      optionalKey<ListenerLimits>("request_timeout",
                                  &ListenerLimits::RequestTimeout, Wait),
      optionalKey<ListenerLimits>("idle_timeout", &ListenerLimits::IdleTimeout,
                                  Wait),
  };
  return Table;
}

} // namespace geraniumbay::inventory
