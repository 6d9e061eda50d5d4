//===- commandtable.cpp - The table of subcommands ------------------------===//
//
// To add a subcommand: write its function (internal/commands.h), define its
// flags (internal/flags.cpp) and add it here.
//
//===----------------------------------------------------------------------===//

#include "cli/cli.h"
#include "cli/internal/commands.h"

namespace geraniumbay::cli {
namespace {

constexpr std::size_t AnyNumber = 1000;

constexpr const char *CheckDetails =
    R"(Reads a document (inventory and rules, in one or more files) and the settings
of a process, and reports every mistake with file, line, key and what is
allowed. Talks to nobody and changes nothing. With both, also compares the
settings with the inventory; with --against, also checks that going from that
document to the new one is safe.
)";

constexpr const char *ApplyDetails =
    R"(Checks the document in FILE... and proposes it to the control VMs. It is in
force once a majority of them has accepted it; then the new version is shown.
Of two changes with the same base one wins and the other ends with code 4: look
at the new version with "show", edit again and apply again.

The operation id and the base are shown before anything is sent. If the answer
is lost (code 5), send the same again with --operation and --base: a change is
never accepted twice.
)";

constexpr const char *ShowDetails =
    R"(Shows the document in force, with its version in a comment. The text can be
edited and applied.
)";

constexpr const char *HistoryDetails =
    R"(Shows the accepted changes with their versions and operation ids.
)";

constexpr const char *StatusDetails =
    R"(Shows what the control VMs know: the version in force, which VMs have which
version and which are cut off since when, ledgers and their epochs. With
--admin, shows what one process knows instead: workers by state, queues and
requests in flight.
)";

constexpr const char *SubmitDetails =
    R"(Submits a job to an entry and waits for its one answer. The input is FILE, or
standard input without FILE or with "-": the JSON body of POST /v1/jobs, or with
--lines the payload of one task a line, for --caller, --service, --request and
--deadline_ms. A complete job shows one answer a line.

The key is shown first. The same key again, also at another entry, never starts
a task twice: it gives the first answer. An entry that cannot be reached is
passed over, and "come back later" is followed, until --wait_ms is over.
)";

constexpr const char *ExplainDetails =
    R"(Joins the logs of several processes into the story of one job: the lines
that name it, and those around that time that tell of its workers, owners and
entries, in one order although clocks differ. It ends with the causes that the
lines show. A word before a line's time names its process; else the file's name
does.
)";

constexpr const char *EvacuateDetails =
    R"(Empties a data centre before work on it: its workers get no more tasks, what
runs there ends, and its callers are served elsewhere. The order lasts until it
is withdrawn with --end. It is recorded by a majority of the control VMs when
this returns; with --wait also known to all entries, and no task runs there
(code 0), or --wait_ms is over (code 1; the order stands). Without DATA_CENTRE
it shows what is evacuated.
)";

constexpr const char *DrainDetails =
    R"(Tells a process to take no new work, and waits until no request is in flight
(code 0) or --wait_ms is over (code 1; the drain goes on). No request in flight
is cut off.
)";

} // namespace

std::vector<Command> standardCommands() {
  return {
      {"check",
       "[FILE...]",
       "Find every mistake in a document or settings.",
       CheckDetails,
       {"settings", "against", "json"},
       0,
       AnyNumber,
       runCheck},
      {"apply",
       "FILE...",
       "Put a new document in force.",
       ApplyDetails,
       {"control", "key_file", "settings", "operation", "base", "timeout_ms",
        "json"},
       1,
       AnyNumber,
       runApply},
      {"show",
       "",
       "Show the document in force.",
       ShowDetails,
       {"control", "key_file", "settings", "timeout_ms", "json"},
       0,
       0,
       runShow},
      {"history",
       "",
       "Show the accepted changes.",
       HistoryDetails,
       {"control", "key_file", "settings", "timeout_ms", "json"},
       0,
       0,
       runHistory},
      {"status",
       "",
       "Show the state of the system or of one process.",
       StatusDetails,
       {"control", "key_file", "admin", "token_file", "settings", "timeout_ms",
        "json"},
       0,
       0,
       runStatus},
      {"submit",
       "[FILE]",
       "Submit a job and wait for its answer.",
       SubmitDetails,
       {"entry", "settings", "key", "lines", "caller", "service", "request",
        "deadline_ms", "wait_ms", "json"},
       0,
       1,
       runSubmit},
      {"drain",
       "",
       "Let a process finish its work before it is stopped.",
       DrainDetails,
       {"admin", "token_file", "settings", "timeout_ms", "wait_ms", "json"},
       0,
       0,
       runDrain},
      {"evacuate",
       "[DATA_CENTRE]",
       "Empty a data centre, or take it back.",
       EvacuateDetails,
       {"end", "wait", "wait_ms", "control", "key_file", "settings",
        "timeout_ms", "json"},
       0,
       1,
       runEvacuate},
      {"explain",
       "JOB FILE...",
       "Tell from logs what became of a job, and why.",
       ExplainDetails,
       {},
       2,
       AnyNumber,
       runExplain},
      {"version",
       "",
       "Show the version of the program.",
       "",
       {"json"},
       0,
       0,
       runVersion},
  };
}

} // namespace geraniumbay::cli
