// Text patches: compressed differences between a base text and a new text.
//
// A configuration of 100 kB in which one route changed gives a patch of a few
// hundred bytes. With an empty base a patch is the compressed text itself.

#ifndef CYCLAMENWIND_BASE_TEXT_PATCH_H
#define CYCLAMENWIND_BASE_TEXT_PATCH_H

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenwind {

// Returns the patch that turns Base into Text. If compression fails, logs
// patch_not_made and returns an empty string.
std::string makePatch(std::string_view Base, std::string_view Text);

// Returns the text that Patch makes of Base. Returns nothing if Patch is
// malformed, was made for another base (detected by its checksum) or gives a
// text larger than MaxBytes.
std::optional<std::string> applyPatch(std::string_view Base,
                                      std::string_view Patch, size_t MaxBytes);

} // namespace cyclamenwind

#endif
