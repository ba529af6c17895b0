#include "cyclamenwind/http/message.h"

#include <array>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

namespace cyclamenwind {
namespace {

bool sameName(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         evutil_ascii_strncasecmp(A.data(), B.data(), A.size()) == 0;
}

constexpr std::array<std::string_view, 8> HopByHopHeaders = {
    "Connection", "Keep-Alive", "Proxy-Connection", "TE",
    "Trailer",    "Upgrade",    "Content-Length",   "Transfer-Encoding"};

} // namespace

const std::string *findHeader(const HttpHeaders &Headers,
                              std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (sameName(Header.Name, Name))
      return &Header.Value;
  return nullptr;
}

size_t countHeaders(const HttpHeaders &Headers, std::string_view Name) {
  size_t Count = 0;
  for (const HttpHeader &Header : Headers)
    if (sameName(Header.Name, Name))
      ++Count;
  return Count;
}

bool isHopByHop(std::string_view Name) {
  for (std::string_view HopName : HopByHopHeaders)
    if (sameName(HopName, Name))
      return true;
  return false;
}

std::string_view HttpRequest::path() const {
  return std::string_view(Target).substr(0, Target.find('?'));
}

std::string HttpRequest::queryValue(std::string_view Name) const {
  size_t QueryStart = Target.find('?');
  if (QueryStart == std::string::npos)
    return "";
  evkeyvalq Pairs;
  if (evhttp_parse_query_str(Target.c_str() + QueryStart + 1, &Pairs) != 0)
    return "";
  const char *Found = evhttp_find_header(&Pairs, std::string(Name).c_str());
  std::string Value = Found == nullptr ? "" : Found;
  evhttp_clear_headers(&Pairs);
  return Value;
}

} // namespace cyclamenwind
