// Commands of cyclamenctl.
//
//   cyclamenctl validate FILE      checks a document
//   cyclamenctl accept FILE        accepts a document as the next version
//   cyclamenctl status             what a daemon knows of the fleet
//   cyclamenctl wait --members N   waits until a version is in force on N
//   members
//
// Exit status: 0 done; 1 failed, nothing was changed; 2 bad usage; 3 lost a
// race; 4 the outcome is unknown; 5 time ran out.

#ifndef CYCLAMENWIND_CTL_COMMANDS_H
#define CYCLAMENWIND_CTL_COMMANDS_H

namespace cyclamenwind::ctl {

enum ExitStatus {
  Done = 0,
  Failed = 1,
  BadUsage = 2,
  LostRace = 3,
  OutcomeUnknown = 4,
  TimedOut = 5,
};

// Runs the command line; returns the exit status.
int run(int Count, const char *const *Arguments);

} // namespace cyclamenwind::ctl

#endif
