//===- configsource.cpp - The configuration of one process ----------------===//
//
// Asking, taking and keeping.
//
//===----------------------------------------------------------------------===//

#include "control/internal/configsource.h"

#include "control/internal/wire.h"
#include "framework/log/log.h"
#include "framework/storage/recordlog.h"

namespace geraniumbay::control {

namespace {

constexpr const char *Module = "control";
constexpr const char *CopyFile = "config";
constexpr Duration QuestionTimeout = std::chrono::milliseconds(800);
/// After a failure the next control VM is asked this soon.
constexpr Duration RetryDelay = std::chrono::milliseconds(200);

RetVal<ConfigSnapshot> readCopy(IStorage &Storage) {
  BOOST_LEAF_AUTO(Bytes, Storage.read(CopyFile));
  RecordFile File = decodeRecords(Bytes);
  if (File.Tail != RecordTail::Clean || File.Records.size() != 1)
    return fail(ErrorCode::Corrupt, "the copy does not check");
  BOOST_LEAF_AUTO(Value, json::parse(File.Records.front()));
  return wire::readConfigSnapshot(Value);
}

/// Whether the control VM that answered was in touch with a majority.
bool isConfirmed(const Json::Value &From) {
  return From["confirmed"].isBool() && From["confirmed"].asBool();
}

/// Takes the newer views of \p New; returns whether there are any.
bool takeLedgers(LedgerViews &Current, const LedgerViews &New) {
  bool Newer = false;
  for (const auto &[DataCentre, View] : New) {
    LedgerView &Known = Current[DataCentre];
    if (View.Number <= Known.Number)
      continue;
    Known = View;
    Newer = true;
  }
  return Newer;
}

} // namespace

ConfigSource::ConfigSource(ConfigSourceOptions Options, IRpcClient &Client,
                           ITimers &Timers, IStorage *Storage)
    : Options_(std::move(Options)), Client_(Client), Timers_(Timers),
      Storage_(Storage) {}

void ConfigSource::start() {
  load();
  poll();
}

void ConfigSource::subscribe(Subscriber Run) {
  Subscribers_.push_back(std::move(Run));
}

void ConfigSource::onConfirmed(Confirmation Run) {
  Confirmations_.push_back(std::move(Run));
}

void ConfigSource::refresh() {
  if (!Asking_)
    poll();
}

void ConfigSource::schedule(Duration Delay) {
  Timers_.cancel(Timer_);
  Timer_ = Timers_.after(Delay, [this] { poll(); });
}

void ConfigSource::poll() {
  if (Options_.ControlVms.empty() || Asking_)
    return;
  Asking_ = true;
  Json::Value Params(Json::objectValue);
  Params["vm"] = Options_.Self.Vm.value();
  Params["process"] = Options_.Self.Process;
  Params["incarnation"] = Json::UInt64(Options_.Start.value());
  Params["in_force"] = Json::UInt64(Current_.Version.value());
  Params["revision"] = Json::UInt64(Current_.Seen.value());
  const Endpoint &To = Options_.ControlVms[Next_ % Options_.ControlVms.size()];
  ++Next_;
  Client_.call(
      To, "control.watch", std::move(Params), QuestionTimeout,
      [this](const Outcome<Json::Value> &Result) { answered(Result); });
}

void ConfigSource::answered(const Outcome<Json::Value> &Result) {
  Asking_ = false;
  auto New = Result ? attempt([&] { return readAnswer(*Result); })
                    : Outcome<ConfigSnapshot>(Result.error());
  if (New) {
    Failures_ = 0;
    schedule(Options_.Interval);
    take(std::move(*New));
    if (CopyDue_)
      keep();
    if (isConfirmed(*Result))
      for (const Confirmation &Run : Confirmations_)
        Run();
    return;
  }
  ++Failures_;
  bool RoundFailed = Failures_ % Options_.ControlVms.size() == 0;
  schedule(RoundFailed ? Options_.Interval : RetryDelay);
  if (RoundFailed)
    askPeer();
}

void ConfigSource::askPeer() {
  if (!Options_.FromPeer)
    return;
  Options_.FromPeer(Current_.Version, [this](Outcome<ConfigSnapshot> New) {
    if (New)
      take(std::move(*New));
  });
}

/// Fields that are left out are as this process has them.
RetVal<ConfigSnapshot> ConfigSource::readAnswer(const Json::Value &From) const {
  BOOST_LEAF_AUTO(Version, wire::readNumber<ConfigVersion>(From, "version"));
  ConfigSnapshot New = Current_;
  if (wire::hasField(From, "document")) {
    New.Version = Version;
    BOOST_LEAF_ASSIGN(New.Document, json::readString(From, "document"));
  }
  if (wire::hasField(From, "ledgers")) {
    BOOST_LEAF_ASSIGN(New.Seen, wire::readNumber<Revision>(From, "revision"));
    BOOST_LEAF_ASSIGN(New.Ledgers, wire::readLedgerViews(From));
  }
  return New;
}

void ConfigSource::take(ConfigSnapshot New) {
  bool Newer = takeLedgers(Current_.Ledgers, New.Ledgers);
  if (New.Version > Current_.Version) {
    Current_.Version = New.Version;
    Current_.Document = std::move(New.Document);
    Newer = true;
  }
  Current_.Seen = std::max(Current_.Seen, New.Seen);
  if (!Newer)
    return;
  keep();
  logEvent(LogLevel::Info, Module, "config_in_force",
           {{"version", Current_.Version}, {"revision", Current_.Seen}});
  for (const Subscriber &Run : Subscribers_)
    Run(Current_);
}

void ConfigSource::load() {
  if (!Storage_)
    return;
  auto Copy = attempt([&] { return readCopy(*Storage_); });
  if (Copy)
    Current_ = std::move(*Copy);
  else if (Copy.error().Code != ErrorCode::NotFound)
    logEvent(LogLevel::Warning, Module, "config_copy_unreadable",
             {{"reason", Copy.error().Message}});
}

void ConfigSource::keep() {
  if (!Storage_)
    return;
  auto Written = attempt([&]() -> Ret {
    std::string Bytes;
    BOOST_LEAF_CHECK(encodeRecord(json::write(wire::write(Current_)), Bytes));
    return Storage_->replace(CopyFile, Bytes);
  });
  bool Due = !Written;
  if (Due != std::exchange(CopyDue_, Due))
    logEvent(Due ? LogLevel::Warning : LogLevel::Info, Module,
             Due ? "config_copy_not_written" : "config_copy_written",
             {{"version", Current_.Version},
              {"reason", Due ? Written.error().Message.c_str() : ""}});
}

} // namespace geraniumbay::control
