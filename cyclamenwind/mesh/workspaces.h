// WorkspaceTable: the workspaces of a configuration and their keys.
//
// A caller belongs to the workspace that holds the key in its request. The
// table keeps digests of the keys only: HMAC-SHA-256 under a secret that each
// process draws at random. The time of a look-up therefore depends on bytes
// that a caller can neither choose nor predict.

#ifndef CYCLAMENWIND_MESH_WORKSPACES_H
#define CYCLAMENWIND_MESH_WORKSPACES_H

#include "cyclamenwind/base/result.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwind {

// Longest key in bytes. Longer ones are those of no workspace.
inline constexpr size_t MaxKeyBytes = 4096;
// Largest rate or burst of an allowance. Far above what a mesh can serve, and
// small enough for sums over all workspaces to stay exact.
inline constexpr double MaxAllowance = 1e9;

struct Workspace {
  std::string Name;
  // Rank of its requests, 0 is the most urgent; the route's priority counts if
  // it is absent.
  std::optional<int> Priority;
  // Allowance over all daemons; no limit if PerSecond is 0.
  double PerSecond = 0;
  double Burst = 0;
};

// A workspace as it is configured.
struct WorkspaceEntry {
  Workspace Settings;
  std::vector<std::string> Keys;
};

enum class WorkspaceError {
  BadName,       // Empty, or not the value of a header.
  DuplicateName, // Two workspaces have this name.
  SharedKey,     // Another workspace holds one of its keys.
  BadAllowance,  // Negative, not finite or above MaxAllowance.
};

std::string_view nameOf(WorkspaceError Error);

// Why a list of workspaces was refused.
struct WorkspaceProblem {
  WorkspaceError Error;
  std::string Name; // Of the workspace.
};

class WorkspaceTable;
using WorkspaceTablePtr = std::shared_ptr<const WorkspaceTable>;

// Immutable.
class WorkspaceTable {
public:
  // A key that no request can carry is left out, with one log line that names
  // its workspace.
  static Result<WorkspaceTablePtr, WorkspaceProblem>
  make(std::vector<WorkspaceEntry> Entries);

  // The workspace that holds Key; null if there is none.
  const Workspace *findByKey(std::string_view Key) const;

  // The workspace named Name; null if there is none.
  const Workspace *find(std::string_view Name) const;

  const std::map<std::string, Workspace, std::less<>> &all() const {
    return ByName;
  }

private:
  using Digest = std::array<unsigned char, 32>;

  WorkspaceTable() = default;
  static Digest digestOf(std::string_view Key);

  std::map<std::string, Workspace, std::less<>> ByName;
  std::map<Digest, const Workspace *> ByKey;
};

} // namespace cyclamenwind

#endif
