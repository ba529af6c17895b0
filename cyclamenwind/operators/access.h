// Access control for requests on the operators' address.
//
// A write requires the token from the settings, and must not be sent by an
// operator's browser for a page of another site. Reads require neither;
// registrations of backend servers require no token. All functions here are
// pure.

#ifndef CYCLAMENWIND_OPERATORS_ACCESS_H
#define CYCLAMENWIND_OPERATORS_ACCESS_H

#include "cyclamenwind/http/message.h"

namespace cyclamenwind {

enum class AccessDecision {
  Granted,
  CrossSite,   // Sent by a browser for a page of another site.
  FormContent, // Has a content type that a page of any site may send.
  NoToken,     // Has no token.
  WrongToken,
  WritesOff, // The settings contain no token.
};

std::string_view nameOf(AccessDecision Decision);

// Tells the sender how to correct a rejected request.
std::string_view adviceFor(AccessDecision Decision);

// Returns whether a browser sent Request for a page of another site.
bool isCrossSite(const HttpRequest &Request);

// Decides whether Request may write. Token is the token from the settings. The
// time of its comparison with the token in Request depends on the lengths of
// the two only, not on their content.
AccessDecision checkWrite(const HttpRequest &Request, const std::string &Token);

} // namespace cyclamenwind

#endif
