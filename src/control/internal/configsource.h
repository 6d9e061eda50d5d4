//===- configsource.h - The configuration of one process --------*- C++ -*-===//
//
// Asks a control VM once a second, each time another one, so that a control VM
// that is cut off and answers with what it last knew holds nobody back. When a
// whole round has failed it asks a peer process. What it takes never goes back
// and is on disk, if there is one, before it is in force.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_CONFIGSOURCE_H
#define GERANIUMBAY_CONTROL_INTERNAL_CONFIGSOURCE_H

#include "control/configsourceoptions.h"
#include "control/iconfigsource.h"
#include "framework/clock/itimers.h"
#include "framework/rpc/irpcclient.h"
#include "framework/storage/istorage.h"

namespace geraniumbay::control {

class ConfigSource : public IConfigSource {
public:
  /// \p Storage may be null: then nothing is kept over a restart.
  ConfigSource(ConfigSourceOptions Options, IRpcClient &Client, ITimers &Timers,
               IStorage *Storage);

  /// Takes the copy on disk, if any, and starts to ask.
  void start();

  const ConfigSnapshot &current() const override { return Current_; }
  void subscribe(Subscriber Run) override;
  void onConfirmed(Confirmation Run) override;
  void refresh() override;

private:
  void schedule(Duration Delay);
  void poll();
  void answered(const Outcome<Json::Value> &Result);
  void askPeer();
  RetVal<ConfigSnapshot> readAnswer(const Json::Value &From) const;
  /// Takes what is newer of \p New; tells subscribers if anything is.
  void take(ConfigSnapshot New);
  void load();
  /// Writes the copy that a restart begins with.
  void keep();

  ConfigSourceOptions Options_;
  IRpcClient &Client_;
  ITimers &Timers_;
  IStorage *Storage_;
  ConfigSnapshot Current_;
  std::vector<Subscriber> Subscribers_;
  std::vector<Confirmation> Confirmations_;
  /// Which control VM is asked next.
  std::size_t Next_ = 0;
  /// Questions in a row that failed.
  std::size_t Failures_ = 0;
  TimerId Timer_;
  bool Asking_ = false;
  /// The disk did not take the copy; it is written again after the next answer.
  bool CopyDue_ = false;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_CONFIGSOURCE_H
