//===- commands.h - The functions behind the subcommands --------*- C++ -*-===//
//
// One function for each line of the table of commands.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_INTERNAL_COMMANDS_H
#define GERANIUMBAY_CLI_INTERNAL_COMMANDS_H

#include "cli/command.h"

namespace geraniumbay::cli {

int runCheck(const Options &Values, Dependencies &Deps, std::ostream &Out,
             std::ostream &Err);
int runApply(const Options &Values, Dependencies &Deps, std::ostream &Out,
             std::ostream &Err);
int runShow(const Options &Values, Dependencies &Deps, std::ostream &Out,
            std::ostream &Err);
int runHistory(const Options &Values, Dependencies &Deps, std::ostream &Out,
               std::ostream &Err);
int runStatus(const Options &Values, Dependencies &Deps, std::ostream &Out,
              std::ostream &Err);
int runSubmit(const Options &Values, Dependencies &Deps, std::ostream &Out,
              std::ostream &Err);
int runDrain(const Options &Values, Dependencies &Deps, std::ostream &Out,
             std::ostream &Err);
int runEvacuate(const Options &Values, Dependencies &Deps, std::ostream &Out,
                std::ostream &Err);
int runExplain(const Options &Values, Dependencies &Deps, std::ostream &Out,
               std::ostream &Err);
int runVersion(const Options &Values, Dependencies &Deps, std::ostream &Out,
               std::ostream &Err);

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_INTERNAL_COMMANDS_H
