// Access: which requests on the operators' address may write.
//
// A write needs the token of the settings, and must not come from a page of
// another site in an operator's browser. Reads need neither. These are pure
// functions.

#ifndef CYCLAMENWIND_OPERATORS_ACCESS_H
#define CYCLAMENWIND_OPERATORS_ACCESS_H

#include "cyclamenwind/http/message.h"

namespace cyclamenwind {

enum class AccessDecision {
  Granted,
  CrossSite,   // A browser sent it for a page of another site.
  FormContent, // Its content type is one that any page may send.
  NoToken,     // It carries no token.
  WrongToken,
  WritesOff, // The settings have no token.
};

std::string_view nameOf(AccessDecision Decision);

// What the sender can do about a refusal.
std::string_view adviceFor(AccessDecision Decision);

// Whether a browser sent Request for a page of another site.
bool crossSite(const HttpRequest &Request);

// Decides on a write. Token is that of the settings; it is compared in a time
// that does not depend on the token given, but for its length.
AccessDecision checkWrite(const HttpRequest &Request, const std::string &Token);

} // namespace cyclamenwind

#endif
