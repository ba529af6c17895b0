// Keys of the objects that the system keeps on the platform.

#ifndef CYCLAMENWIND_CONFIG_KEYS_H
#define CYCLAMENWIND_CONFIG_KEYS_H

namespace cyclamenwind {

// The accepted document in its envelope.
inline constexpr char DocumentKey[] = "config/document";

// Meeting points: one object a failure domain, "meeting/DOMAIN".
inline constexpr char SeedListPrefix[] = "meeting/";

} // namespace cyclamenwind

#endif
