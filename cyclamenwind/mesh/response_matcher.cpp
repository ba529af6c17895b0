#include "cyclamenwind/mesh/response_matcher.h"

namespace cyclamenwind {

ResponseMatcher responseMatcher(const HeaderCodec &Codec) {
  return [&Codec](const HttpRequest &Request, const HttpResponse &Response,
                  bool Reused) {
    ResponseMetadata Metadata = Codec.responseMetadata(Response);
    if (Metadata.AttemptId.empty())
      return !Reused || (!Metadata.Signed && !Metadata.NotRun);
    HttpHeaders Headers = Request.Headers;
    return Codec.extractCallerMetadata(Headers).AttemptId == Metadata.AttemptId;
  };
}

} // namespace cyclamenwind
