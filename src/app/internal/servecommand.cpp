//===- servecommand.cpp - The subcommand that runs a process --------------===//
//
// Reads and checks the settings, and runs the process until a planned stop.
//
//===----------------------------------------------------------------------===//

#include "app/internal/servecommand.h"

#include "app/process.h"
#include "framework/log/log.h"
#include "inventory/settings.h"
#include "inventory/textfile.h"

namespace geraniumbay::app {

namespace {

constexpr std::size_t MaxSettingsBytes = 65536;

constexpr const char *ServeDetails =
    R"(Runs the roles that the settings file names until SIGTERM or SIGINT. Then it
takes no new work, answers what is in flight, and ends: with code 0 if nothing
was cut off, with code 1 if the drain timeout came first.
)";

int reportMistakes(const inventory::Problems &Found, std::ostream &Err) {
  for (const inventory::Problem &Each : Found)
    Err << Each.text() << "\n";
  return toInt(cli::ExitCode::Failure);
}

int runProcess(const inventory::ProcessSettings &Settings, std::ostream &Err) {
  startLogging(Settings.Log.Level, Settings.Log.File);
  Process Running(Settings);
  auto Started = attempt([&] { return Running.start(); });
  if (!Started.ok()) {
    Err << "cannot start: " << Started.error().Message << "\n";
    return toInt(cli::ExitCode::Failure);
  }
  std::size_t CutOff = Running.run();
  return toInt(CutOff == 0 ? cli::ExitCode::Ok : cli::ExitCode::Failure);
}

int runServe(const cli::Options &Given, cli::Dependencies & /*Deps*/,
             std::ostream & /*Out*/, std::ostream &Err) {
  auto Text = attempt([&] {
    return inventory::readTextFile(Given.Settings, MaxSettingsBytes);
  });
  if (!Text.ok()) {
    Err << Given.Settings << ": " << Text.error().Message << "\n";
    return toInt(cli::ExitCode::Usage);
  }
  auto Settings = inventory::parseSettings(*Text, Given.Settings);
  if (!Settings)
    return reportMistakes(Settings.problems(), Err);
  inventory::Problems Secrets = inventory::checkSecretFiles(*Settings);
  if (!Secrets.empty())
    return reportMistakes(Secrets, Err);
  return runProcess(*Settings, Err);
}

} // namespace

cli::Command serveCommand() {
  return {"serve",
          "",
          "Run a process of the system.",
          ServeDetails,
          {"settings"},
          0,
          0,
          runServe};
}

} // namespace geraniumbay::app
