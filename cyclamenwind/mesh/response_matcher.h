// responseMatcher: tells which responses of a backend server answer a request.
//
// A response belongs to the request whose attempt id it echoes. Without an id,
// it may be a second copy of the response to an earlier request on the same
// connection. There, a signed response or one that guarantees that the request
// did not run is not accepted: a server that runs the request sends its own
// response later, and a wrong guarantee would make callers run it twice.

#ifndef CYCLAMENWIND_MESH_RESPONSE_MATCHER_H
#define CYCLAMENWIND_MESH_RESPONSE_MATCHER_H

#include "cyclamenwind/http/pooled_client.h"
#include "cyclamenwind/mesh/header_codec.h"

namespace cyclamenwind {

// Codec must outlive the result.
ResponseMatcher responseMatcher(const HeaderCodec &Codec);

} // namespace cyclamenwind

#endif
