// Deltas between two versions of the accepted document.
//
// A delta works on resources: the named elements of the document's arrays. It
// holds the added and changed resources, each whole and with its position, and
// the names of the removed ones. Applying a delta yields the exact text of the
// new envelope, which is verified by its digest. For a change that a delta
// cannot express, such as a new order of elements, there is no delta.

#ifndef CYCLAMENWIND_CONFIG_DELTA_H
#define CYCLAMENWIND_CONFIG_DELTA_H

#include "cyclamenwind/base/result.h"
#include "cyclamenwind/config/snapshot.h"
#include "cyclamenwind/wire/gen-cpp/config_types.h"

#include <optional>
#include <string>

namespace cyclamenwind {

enum class DeltaError {
  OtherBase, // The delta was made for another version than From.
  Malformed,
  WrongDigest, // The resulting text does not match the digest.
};

std::string_view nameOf(DeltaError Error);

// Returns nothing if a delta cannot express the change from From to To.
std::optional<wire::ConfigDelta> makeDelta(const Snapshot &From,
                                           const Snapshot &To);

// Applies Delta to From; returns the text of the new envelope.
Result<std::string, DeltaError> applyDelta(const Snapshot &From,
                                           const wire::ConfigDelta &Delta);

// A message with the compressed text of the envelope.
wire::ConfigSnapshot packSnapshot(const Snapshot &Source);

// Decompresses the text; fails if it is larger than a document may be, does not
// decompress or does not match the digest.
Result<std::string, DeltaError>
unpackSnapshot(const wire::ConfigSnapshot &Message);

} // namespace cyclamenwind

#endif
