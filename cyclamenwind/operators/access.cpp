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

// Content types that a browser sends across sites without asking first.
constexpr std::array<std::string_view, 3> FormTypes = {
    "application/x-www-form-urlencoded", "multipart/form-data", "text/plain"};

constexpr std::string_view BearerPrefix = "Bearer ";

bool sameSecret(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

std::string headerOf(const HttpRequest &Request, std::string_view Name) {
  const std::string *Value = findHeader(Request.Headers, Name);
  return Value == nullptr ? "" : *Value;
}

std::string lowerCase(std::string Text) {
  for (char &Each : Text)
    if (Each >= 'A' && Each <= 'Z')
      Each = static_cast<char>(Each - 'A' + 'a');
  return Text;
}

bool hasFormContent(const HttpRequest &Request) {
  std::string Type = lowerCase(headerOf(Request, "Content-Type"));
  for (std::string_view Each : FormTypes)
    if (Type.starts_with(Each))
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

bool crossSite(const HttpRequest &Request) {
  std::string Site = lowerCase(headerOf(Request, "Sec-Fetch-Site"));
  if (!Site.empty() && Site != "same-origin" && Site != "none")
    return true;
  std::string Origin = lowerCase(headerOf(Request, "Origin"));
  if (Origin.empty())
    return false;
  std::string Host = lowerCase(headerOf(Request, "Host"));
  return Origin != "http://" + Host && Origin != "https://" + Host;
}

AccessDecision checkWrite(const HttpRequest &Request,
                          const std::string &Token) {
  if (crossSite(Request))
    return AccessDecision::CrossSite;
  if (hasFormContent(Request))
    return AccessDecision::FormContent;
  if (Token.empty())
    return AccessDecision::WritesOff;
  std::string Given = headerOf(Request, "Authorization");
  if (!std::string_view(Given).starts_with(BearerPrefix))
    return AccessDecision::NoToken;
  return sameSecret(std::string_view(Given).substr(BearerPrefix.size()), Token)
             ? AccessDecision::Granted
             : AccessDecision::WrongToken;
}

} // namespace cyclamenwind
