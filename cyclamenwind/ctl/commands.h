// Commands of cyclamenctl.
//
// Each command is a function from the command line to a CommandResult; run()
// prints it. Text goes to standard output when the command is done and to
// standard error otherwise; with --output json one object goes to standard
// output in either case, with "status", "exit_status" and, if there is advice,
// "next".

#ifndef CYCLAMENWIND_CTL_COMMANDS_H
#define CYCLAMENWIND_CTL_COMMANDS_H

#include "cyclamenwind/ctl/command_line.h"
#include "cyclamenwind/ctl/connection.h"

#include <iosfwd>

namespace cyclamenwind::ctl {

// Of documents (document_commands.cpp).
CommandResult validate(const CommandLine &Line);
CommandResult accept(const CommandLine &Line, Connection &Link);
CommandResult diff(const CommandLine &Line, Connection &Link);

// Of the fleet (fleet_commands.cpp). Progress takes lines while it waits.
CommandResult status(const CommandLine &Line, Connection &Link);
CommandResult drain(const CommandLine &Line, Connection &Link);
CommandResult explain(const CommandLine &Line, Connection &Link);
CommandResult waitInForce(const CommandLine &Line, Connection &Link,
                          std::ostream &Progress);

// Of records (record_commands.cpp).
CommandResult history(const CommandLine &Line, Connection &Link);
CommandResult audit(const CommandLine &Line, Connection &Link);
CommandResult moves(const CommandLine &Line, Connection &Link);
CommandResult takeBack(const CommandLine &Line, Connection &Link);

// Of logs (trace_command.cpp): what daemons decided on one request and on the
// calls made inside it, in the order of time.
CommandResult trace(const CommandLine &Line);

// Runs the command line; returns the exit status.
int run(int Count, const char *const *Arguments, Connection &Link,
        std::ostream &Out, std::ostream &Errors);

} // namespace cyclamenwind::ctl

#endif
