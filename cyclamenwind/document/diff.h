// Diff: the differences between two documents, listed by resource.

#ifndef CYCLAMENWIND_DOCUMENT_DIFF_H
#define CYCLAMENWIND_DOCUMENT_DIFF_H

#include "cyclamenwind/document/document.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {

enum class ResourceKind { Service, Route, Move };
enum class ChangeKind { Added, Removed, Changed };

std::string_view nameOf(ResourceKind Kind);
std::string_view nameOf(ChangeKind Kind);

// A changed member of a resource. From and To are the JSON texts of the old and
// the new value, empty if the member is absent.
struct FieldChange {
  std::string Field; // JSON pointer within the resource, such as "/match".
  std::string From;
  std::string To;

  bool operator==(const FieldChange &) const = default;
};

struct ResourceChange {
  ResourceKind Resource;
  std::string Name;
  ChangeKind Change;
  std::vector<FieldChange> Fields; // Empty unless Change is Changed.

  // Formats the change as one line for operators.
  std::string text() const;

  bool operator==(const ResourceChange &) const = default;
};

// Returns the changes that turn From into To, ordered by resource kind and
// name. The order of resources within a document is ignored.
std::vector<ResourceChange> diffDocuments(const Document &From,
                                          const Document &To);

nlohmann::json jsonOf(const std::vector<ResourceChange> &Changes);

} // namespace cyclamenwind

#endif
