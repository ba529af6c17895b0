// Diff: what differs between two documents, resource by resource.

#ifndef CYCLAMENWIND_DOCUMENT_DIFF_H
#define CYCLAMENWIND_DOCUMENT_DIFF_H

#include "cyclamenwind/document/document.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {

enum class ResourceKind { Service, Route, Move };
enum class ChangeKind { Added, Removed, Changed };

std::string_view nameOf(ResourceKind Kind);
std::string_view nameOf(ChangeKind Kind);

// One member of a resource. From or To is empty where the member is absent;
// values are in JSON.
struct FieldChange {
  std::string Field; // JSON pointer inside the resource, such as "/match".
  std::string From;
  std::string To;

  bool operator==(const FieldChange &) const = default;
};

struct ResourceChange {
  ResourceKind Resource;
  std::string Name;
  ChangeKind Change;
  std::vector<FieldChange> Fields; // Of a changed resource only.

  // One line for the operator.
  std::string text() const;

  bool operator==(const ResourceChange &) const = default;
};

// What has to be done to From to get To, ordered by resource and name. The
// order of resources inside a document does not matter.
std::vector<ResourceChange> diffDocuments(const Document &From,
                                          const Document &To);

nlohmann::json jsonOf(const std::vector<ResourceChange> &Changes);

} // namespace cyclamenwind

#endif
