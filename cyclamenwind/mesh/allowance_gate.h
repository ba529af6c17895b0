// AllowanceGate: admits requests of workspaces within their allowances.
//
// Abstract, so that the outbound proxy does not depend on how daemons share an
// allowance.

#ifndef CYCLAMENWIND_MESH_ALLOWANCE_GATE_H
#define CYCLAMENWIND_MESH_ALLOWANCE_GATE_H

#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cyclamenwind {

enum class AllowanceDecision { Admitted, Refused, Pending };

struct AllowanceAnswer {
  AllowanceDecision Decision = AllowanceDecision::Admitted;
  Duration RetryAfter{}; // If Refused: when there will be room.
};

class AllowanceGate {
public:
  virtual ~AllowanceGate() = default;

  // Decides on a request of Workspace; Request identifies it. If the decision
  // is Pending, the handler is called once, not from within admit() or
  // withdraw(), unless the request is withdrawn.
  virtual AllowanceAnswer admit(const std::string &Workspace,
                                uint64_t Request) = 0;

  // The caller of a pending request has left.
  virtual void withdraw(uint64_t Request) = 0;

  // An admitted request of Workspace was refused for another reason and has not
  // run.
  virtual void giveBack(const std::string &Workspace) = 0;

  // Handler gets the decisions on pending requests: Admitted or Refused.
  virtual void
  onDecision(std::function<void(uint64_t Request, const AllowanceAnswer &)>
                 Handler) = 0;
};

} // namespace cyclamenwind

#endif
