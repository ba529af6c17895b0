// RetryBudget: bounds the number of requests that this daemon sends to a second
// server.
//
// All daemons share one budget per service: within any window, retries may
// number at most Ratio times the first attempts plus Extra. The daemons keep no
// common counter; each daemon computes a local limit from Ratio of its own
// first attempts and an equal share of Extra, and spends only part of that
// limit. The rest covers nested calls: a backend server that runs a retried
// request repeats the calls that the first server already made, and these count
// as retries at the services that are called. For the same reason the limit for
// retries of requests that a server has already executed is lower than the
// limit for all retries.
//
// The window slides in WindowSteps steps. Does no I/O and reads no clock.

#ifndef CYCLAMENWIND_MESH_RETRY_BUDGET_H
#define CYCLAMENWIND_MESH_RETRY_BUDGET_H

#include "cyclamenwind/base/time.h"

#include <array>
#include <map>
#include <string>

namespace cyclamenwind {

struct RetryBudgetOptions {
  double Ratio = 0.2;
  double Extra = 0; // Retries per window, for all daemons together.
  Duration Window = 10s;
};

class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetOptions &Options) : Options(Options) {}

  // Counts the first attempt of a request.
  void countFirstAttempt(const std::string &Service, TimePoint Now);

  // Consumes one retry and returns true if the budget allows it. Daemons is
  // the number of daemons that share Extra. Executed: a server has already run
  // the request, so a retry repeats its nested calls.
  bool takeRetry(const std::string &Service, bool Executed, size_t Daemons,
                 TimePoint Now);

  // Retries that the budget still allows for requests that no server has run.
  int remaining(const std::string &Service, size_t Daemons, TimePoint Now);

private:
  static constexpr int WindowSteps = 5;
  struct Counts {
    int64_t Step = 0; // Number of the newest step, from the clock's epoch.
    // Per step, the newest first.
    std::array<int, WindowSteps> FirstAttempts = {};
    std::array<int, WindowSteps> Retries = {};
    std::array<int, WindowSteps> ExecutedRetries = {}; // Included in Retries.
  };

  // This daemon's share of the budget, of which only a part is spent.
  double localLimit(const Counts &Entry, size_t Daemons) const;
  // The counts of Service, with the steps older than the window dropped.
  Counts &advanceWindow(const std::string &Service, TimePoint Now);

  RetryBudgetOptions Options;
  std::map<std::string, Counts> ByService;
};

} // namespace cyclamenwind

#endif
