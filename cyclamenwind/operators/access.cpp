#include "cyclamenwind/operators/access.h"

#include "cyclamenwind/base/names.h"

#include <openssl/crypto.h>

namespace cyclamenwind {
namespace {

constexpr std::array<EnumName<AccessDecision>, 6> DecisionNames = {{
    {AccessDecision::Granted, "granted"},
    {AccessDecision::CrossSite, "cross_site"},
    {AccessDecision::FormContent, "form_content"},
    {AccessDecision::NoToken, "no_token"},
    {AccessDecision::WrongToken, "wrong_token"},
    {AccessDecision::WritesOff, "writes_off"},
}};

constexpr std::array<EnumName<AccessDecision>, 6> Advice = {{
    {AccessDecision::Granted, ""},
    {AccessDecision::CrossSite,
     "send it from the daemon's own page or from cyclamenctl"},
    {AccessDecision::FormContent, "send it as application/json"},
    {AccessDecision::NoToken,
     "send 'Authorization: Bearer TOKEN' with operators.token of the settings"},
    {AccessDecision::WrongToken,
     "the token is not operators.token of this daemon's settings"},
    {AccessDecision::WritesOff,
     "set operators.token in this daemon's settings to allow writes"},
}};

// Content types that a browser sends to another site without a CORS preflight
// request.
constexpr std::array<std::string_view, 3> FormTypes = {
    "application/x-www-form-urlencoded", "multipart/form-data", "text/plain"};

constexpr std::string_view BearerPrefix = "Bearer ";

bool equalInConstantTime(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

std::string headerValue(const HttpRequest &Request, std::string_view Name) {
  const std::string *Value = findHeader(Request.Headers, Name);
  return Value == nullptr ? "" : *Value;
}

std::string lowerCase(std::string Text) {
  for (char &Character : Text)
    if (Character >= 'A' && Character <= 'Z')
      Character = static_cast<char>(Character - 'A' + 'a');
  return Text;
}

bool hasFormContent(const HttpRequest &Request) {
  std::string ContentType = lowerCase(headerValue(Request, "Content-Type"));
  for (std::string_view FormType : FormTypes)
    if (ContentType.starts_with(FormType))
      return true;
  return false;
}

} // namespace

std::string_view nameOf(AccessDecision Decision) {
  return nameIn(DecisionNames, Decision);
}

std::string_view adviceFor(AccessDecision Decision) {
  return nameIn(Advice, Decision);
}

bool isCrossSite(const HttpRequest &Request) {
  std::string Site = lowerCase(headerValue(Request, "Sec-Fetch-Site"));
  if (!Site.empty() && Site != "same-origin" && Site != "none")
    return true;
  std::string Origin = lowerCase(headerValue(Request, "Origin"));
  if (Origin.empty())
    return false;
  std::string Host = lowerCase(headerValue(Request, "Host"));
  return Origin != "http://" + Host && Origin != "https://" + Host;
}

AccessDecision checkWrite(const HttpRequest &Request,
                          const std::string &Token) {
  if (isCrossSite(Request))
    return AccessDecision::CrossSite;
  if (hasFormContent(Request))
    return AccessDecision::FormContent;
  if (Token.empty())
    return AccessDecision::WritesOff;
  std::string Authorization = headerValue(Request, "Authorization");
  if (!std::string_view(Authorization).starts_with(BearerPrefix))
    return AccessDecision::NoToken;
  return equalInConstantTime(
             std::string_view(Authorization).substr(BearerPrefix.size()), Token)
             ? AccessDecision::Granted
             : AccessDecision::WrongToken;
}

} // namespace cyclamenwind
