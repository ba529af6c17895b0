// Commands of cyclamenctl.
//
// Each command is a function that takes the command line and returns a
// CommandResult, which run() prints. Text is written to standard output if the
// command succeeded or its result is incomplete, otherwise to standard error;
// advice always goes to standard error. With --output json one object is
// written to standard output, unless the command line is wrong or asks for
// help. It has the members "status", "exit_status", "message" unless the
// command succeeded, and "next" if there is advice.
//
// Rollouts are called moves, and rolling back is called take-back, on the
// command line, in paths and in JSON; these names are part of the interface and
// do not change.

#ifndef CYCLAMENWIND_CTL_COMMANDS_H
#define CYCLAMENWIND_CTL_COMMANDS_H

#include "cyclamenwind/ctl/command_line.h"
#include "cyclamenwind/ctl/daemon_client.h"

#include <iosfwd>

namespace cyclamenwind::ctl {

// Documents (document_commands.cpp).
CommandResult validate(const CommandLine &Line);
CommandResult accept(const CommandLine &Line, DaemonClient &Client);
CommandResult diff(const CommandLine &Line, DaemonClient &Client);

// Fleet (fleet_commands.cpp). waitUntilApplied() writes a line to ProgressOut
// whenever the counts change, unless the output is JSON.
CommandResult status(const CommandLine &Line, DaemonClient &Client);
CommandResult drain(const CommandLine &Line, DaemonClient &Client);
CommandResult explain(const CommandLine &Line, DaemonClient &Client);
CommandResult waitUntilApplied(const CommandLine &Line, DaemonClient &Client,
                               std::ostream &ProgressOut);

// Audit trail and rollouts (record_commands.cpp).
CommandResult history(const CommandLine &Line, DaemonClient &Client);
CommandResult audit(const CommandLine &Line, DaemonClient &Client);
CommandResult rollouts(const CommandLine &Line, DaemonClient &Client);
CommandResult rollBack(const CommandLine &Line, DaemonClient &Client);

// Logs (trace_command.cpp). Lists the daemons' decisions on one request and on
// the calls made while it was executed, ordered by time.
CommandResult trace(const CommandLine &Line);

// Runs the command and prints its result. Returns the exit status.
int run(int Count, const char *const *Arguments, DaemonClient &Client,
        std::ostream &Out, std::ostream &Errors);

} // namespace cyclamenwind::ctl

#endif
