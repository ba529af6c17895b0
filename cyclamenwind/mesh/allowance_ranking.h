// Which daemon owns the allowance of a workspace.
//
// Each daemon works that out from the daemons that it is connected to, by
// rendezvous hashing, so that all agree without messages while they see the
// same daemons. A few daemons own all allowances: a message to an owner then
// carries the needs of many workspaces.

#ifndef CYCLAMENWIND_MESH_ALLOWANCE_RANKING_H
#define CYCLAMENWIND_MESH_ALLOWANCE_RANKING_H

#include "cyclamenwind/base/address.h"

#include <string>
#include <vector>

namespace cyclamenwind {

// Number of owners. Each of 90 daemons sends an owner up to a few messages a
// second; more owners would mean more messages in total.
inline constexpr size_t AllowanceOwners = 8;

// The owners of all allowances among Daemons: at most AllowanceOwners.
std::vector<Address> allowanceOwners(std::vector<Address> Daemons);

// Owners in the order in which they own the allowance of Workspace, the owner
// first and then those that follow if it is away.
std::vector<Address> rankedOwners(const std::string &Workspace,
                                  std::vector<Address> Owners);

} // namespace cyclamenwind

#endif
