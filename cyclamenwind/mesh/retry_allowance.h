// RetryAllowance: how many requests this daemon may send to a second server.
//
// All daemons share one allowance a service: in any window, repeats may come to
// Ratio of the first sends plus Extra. Without a counter in common each daemon
// spends Ratio of its own first sends and an equal share of Extra. Counted in
// steps of a quarter of the window. Pure.

#ifndef CYCLAMENWIND_MESH_RETRY_ALLOWANCE_H
#define CYCLAMENWIND_MESH_RETRY_ALLOWANCE_H

#include "cyclamenwind/base/time.h"

#include <array>
#include <map>
#include <string>

namespace cyclamenwind {

struct RetryAllowanceOptions {
  double Ratio = 0.2;
  double Extra = 0; // Of all daemons together, in a window.
  Duration Window = 10s;
};

class RetryAllowance {
public:
  explicit RetryAllowance(const RetryAllowanceOptions &Options)
      : Options(Options) {}

  void countFirst(const std::string &Service, TimePoint Now);

  // Takes one repeat if the allowance has room, with Daemons sharing Extra.
  bool takeRepeat(const std::string &Service, size_t Daemons, TimePoint Now);

private:
  static constexpr int Steps = 4;
  struct Counts {
    int64_t Step = 0; // Since the clock's epoch; of the newest count.
    std::array<int, Steps + 1> First = {};
    std::array<int, Steps + 1> Repeats = {};
  };

  Counts &current(const std::string &Service, TimePoint Now);

  RetryAllowanceOptions Options;
  std::map<std::string, Counts> ByService;
};

} // namespace cyclamenwind

#endif
