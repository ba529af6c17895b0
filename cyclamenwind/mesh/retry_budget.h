// RetryBudget: how many requests this daemon may send to a second server.
//
// All daemons share one allowance a service: in any window, repeats may come to
// Ratio of the first sends plus Extra. Without a counter in common each daemon
// spends part of Ratio of its own first sends and of an equal share of Extra.
// What is left covers the calls that backend servers make again while they run
// a repeated request: they count as repeats at the services that are called. A
// request that another server has run already may therefore be repeated less
// often than one that was not run. Counted in steps of a window. Pure.

#ifndef CYCLAMENWIND_MESH_RETRY_BUDGET_H
#define CYCLAMENWIND_MESH_RETRY_BUDGET_H

#include "cyclamenwind/base/time.h"

#include <array>
#include <map>
#include <string>

namespace cyclamenwind {

struct RetryBudgetOptions {
  double Ratio = 0.2;
  double Extra = 0; // Of all daemons together, in a window.
  Duration Window = 10s;
};

class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetOptions &Options) : Options(Options) {}

  void countFirst(const std::string &Service, TimePoint Now);

  // Takes one repeat if the allowance has room, with Daemons sharing Extra.
  // Ran: a server has run the request, so that its calls are made again.
  bool takeRepeat(const std::string &Service, bool Ran, size_t Daemons,
                  TimePoint Now);

  // Repeats of requests that no server has run for which there is room now.
  int left(const std::string &Service, size_t Daemons, TimePoint Now);

private:
  static constexpr int Steps = 5;
  struct Counts {
    int64_t Step = 0; // Since the clock's epoch; of the newest count.
    std::array<int, Steps> First = {};
    std::array<int, Steps> Repeats = {};
    std::array<int, Steps> RunRepeats = {}; // Of Repeats.
  };

  double room(const Counts &Entry, size_t Daemons) const;
  Counts &current(const std::string &Service, TimePoint Now);

  RetryBudgetOptions Options;
  std::map<std::string, Counts> ByService;
};

} // namespace cyclamenwind

#endif
