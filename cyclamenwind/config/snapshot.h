// Snapshot: one version of the configuration, indexed for lookups.
//
// A snapshot is immutable and self-contained: every route in it names a service
// in it. A daemon replaces its snapshot as a whole, so that no call sees parts
// of two versions; calls that began with the old snapshot keep it alive until
// they end.

#ifndef CYCLAMENWIND_CONFIG_SNAPSHOT_H
#define CYCLAMENWIND_CONFIG_SNAPSHOT_H

#include "cyclamenwind/document/document.h"

#include <map>
#include <memory>

namespace cyclamenwind {

class Snapshot {
public:
  // Text must be the text that Parsed was parsed from.
  Snapshot(Envelope Parsed, std::string Text);

  uint64_t version() const { return TheEnvelope.Version; }
  uint64_t digest() const { return Digest; }
  const Envelope &envelope() const { return TheEnvelope; }
  const Document &document() const { return TheEnvelope.Body; }
  const std::string &text() const { return Text; }

  // Returns the route for a request: of the routes for Method or for any
  // method, the one with the longest path prefix that matches whole segments.
  // With equal prefixes, a route for Method takes precedence. Null if there is
  // none.
  const RouteSpec *route(std::string_view Method, std::string_view Path) const;

  // Returns the service named Name; null if there is none.
  const ServiceSpec *service(std::string_view Name) const;

private:
  Envelope TheEnvelope;
  std::string Text;
  uint64_t Digest;
  std::map<std::string_view, const ServiceSpec *> Services;
  // Routes by path prefix without a trailing slash.
  std::map<std::string_view, std::vector<const RouteSpec *>> Routes;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace cyclamenwind

#endif
