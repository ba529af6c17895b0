// Which request bodies are large: they are offered to the daemon of the chosen
// server before they are sent (ingress_scheduler.h), and count in the choice of
// the server.

#ifndef CYCLAMENWIND_MESH_LARGE_BODY_H
#define CYCLAMENWIND_MESH_LARGE_BODY_H

#include <cstddef>

namespace cyclamenwind {

// Bodies of more bytes are large. 16 KB take 13 ms of a link of 10 Mbit/s; the
// exchange before a larger body costs less than the time that a short call may
// wait behind it.
inline constexpr size_t LargeBodyBytes = 16 * 1024;

inline bool isLargeBody(size_t Bytes) { return Bytes > LargeBodyBytes; }

} // namespace cyclamenwind

#endif
