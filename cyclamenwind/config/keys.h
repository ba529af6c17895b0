// Keys of objects in the platform's store.

#ifndef CYCLAMENWIND_CONFIG_KEYS_H
#define CYCLAMENWIND_CONFIG_KEYS_H

namespace cyclamenwind {

// The accepted document in its envelope.
inline constexpr char DocumentKey[] = "config/document";

// Seed lists: one object per failure domain, "meeting/DOMAIN".
inline constexpr char SeedListPrefix[] = "meeting/";

} // namespace cyclamenwind

#endif
