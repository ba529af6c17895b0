// Text patches: a text as its difference from an earlier one, compressed.
//
// A configuration of a hundred kilobytes in which one route changed becomes a
// patch of a few hundred bytes. With an empty base this is plain compression.

#ifndef CYCLAMENWIND_BASE_TEXT_PATCH_H
#define CYCLAMENWIND_BASE_TEXT_PATCH_H

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenwind {

// What leads from Base to Text; empty, with a log line, if it fails.
std::string makePatch(std::string_view Base, std::string_view Text);

// The text that Patch leads to from Base. Nothing if Patch is malformed, was
// made for another base (which its checksum shows), or yields a text larger
// than MaxBytes.
std::optional<std::string> applyPatch(std::string_view Base,
                                      std::string_view Patch, size_t MaxBytes);

} // namespace cyclamenwind

#endif
