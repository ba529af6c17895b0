// Deltas between two versions of the accepted document, by resource.
//
// A resource is a named element of one of the document's arrays. A delta holds
// those that were added or changed, with their place, and the names of those
// that were removed; whatever members a resource has, it is carried whole.
// Applying a delta yields the new envelope's exact text, which the digest
// proves. Changes that a delta can't express, such as a new order, have none.

#ifndef CYCLAMENWIND_CONFIG_DELTA_H
#define CYCLAMENWIND_CONFIG_DELTA_H

#include "cyclamenwind/base/result.h"
#include "cyclamenwind/config/snapshot.h"
#include "cyclamenwind/wire/gen-cpp/config_types.h"

#include <optional>
#include <string>

namespace cyclamenwind {

enum class DeltaError {
  OtherBase, // Made for another version than From.
  Malformed,
  WrongDigest, // Yields another text than the one it was made for.
};

std::string_view nameOf(DeltaError Error);

// Nothing if the step from From to To can't be expressed.
std::optional<wire::ConfigDelta> makeDelta(const Snapshot &From,
                                           const Snapshot &To);

// The text of the envelope that Delta leads to from From.
Result<std::string, DeltaError> applyDelta(const Snapshot &From,
                                           const wire::ConfigDelta &Delta);

// The envelope's text in a compressed message.
wire::ConfigSnapshot packSnapshot(const Snapshot &Packed);

// Rejects what is too large, does not decompress or has another digest.
Result<std::string, DeltaError> unpackSnapshot(const wire::ConfigSnapshot &In);

} // namespace cyclamenwind

#endif
