// Document: the accepted configuration as operators write it.
//
//   {
//     "services": [
//       {"name": "basket", "version": "v1"}
//     ],
//     "routes": [
//       {"name": "basket-lookup", "service": "basket",
//        "match": {"method": "GET", "path_prefix": "/baskets"},
//        "deadline_ms": 1000, "repeatable": true, "priority": "normal"}
//     ],
//     "moves": [
//       {"name": "quote-v2", "service": "quote", "to": "v2",
//        "done_by": "2026-08-01T12:00:00Z"}
//     ]
//   }
//
// parseDocument() checks the whole text and reports every error at once, each
// with the JSON pointer of the place it stands at. A Document that parsed is
// closed: each route and move names a service of the same document.
//
// On the platform the document is stored in an Envelope, which adds its
// version, the id of the operation that wrote it, and who wrote it when.

#ifndef CYCLAMENWIND_DOCUMENT_DOCUMENT_H
#define CYCLAMENWIND_DOCUMENT_DOCUMENT_H

#include "cyclamenwind/base/result.h"
#include "cyclamenwind/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwind {

// Limit of a document's text, bytes; the platform holds values up to 1 MB.
constexpr size_t MaxDocumentBytes = 1000 * 1000;

// Which calls go first when a backend server is short of slots.
enum class Priority { Background, Normal, Urgent };

std::string_view nameOf(Priority Value);

// What happens to a request that comes again with the same Idempotency-Key.
enum class ResubmissionRule {
  Forward, // It is a request like any other.
  Claim,   // It is not run again; see traffic/claims.h.
};

std::string_view nameOf(ResubmissionRule Value);

struct ServiceSpec {
  std::string Name;
  // Version of the backend servers that receive calls outside of a move.
  std::string Version;

  bool operator==(const ServiceSpec &) const = default;
};

struct RouteSpec {
  std::string Name;
  std::string Service;
  std::string Method; // Empty: any.
  std::string PathPrefix;
  Duration Deadline = 1s;
  // Whether a call may run more than once.
  bool Idempotent = false;
  Priority Urgency = Priority::Normal;
  ResubmissionRule Resubmission = ResubmissionRule::Forward;

  bool operator==(const RouteSpec &) const = default;
};

// What a move that has not been decided by its set time becomes.
enum class DeadlineRule { RollBack, StayUndecided };

std::string_view nameOf(DeadlineRule Value);

// What a step does when its time is over and its calls were too few for the
// stated miss rate.
enum class InsufficientEvidenceRule { Hold, Advance };

std::string_view nameOf(InsufficientEvidenceRule Value);

struct RolloutSpec {
  std::string Name;
  std::string Service;
  std::string To; // Version that traffic moves to.
  WallTime Deadline;
  DeadlineRule AtSetTime = DeadlineRule::RollBack;
  InsufficientEvidenceRule WhenEvidenceIsShort = InsufficientEvidenceRule::Hold;
  // The least fault that is looked for: errors above the old version's, as a
  // share of calls, and latency as a multiple of the old version's.
  double MaxErrorIncrease = 0.05;
  double MaxLatencyFactor = 2;
  // Probability that a good version is taken back, and that a fault of the
  // above size is not seen within the calls that a step waits for.
  double FalseAlarmRate = 0.005;
  double MissRate = 0.005;
  // Latency of a backend server is not judged for this long after it is first
  // seen.
  Duration SlowStart = 30s;

  bool operator==(const RolloutSpec &) const = default;
};

struct Document {
  std::vector<ServiceSpec> Services;
  std::vector<RouteSpec> Routes;
  std::vector<RolloutSpec> Rollouts;

  bool operator==(const Document &) const = default;

  // The service called Name; null if there is none.
  const ServiceSpec *service(std::string_view Name) const;
};

struct DocumentError {
  std::string Path; // JSON pointer, such as "/routes/0/service".
  std::string Message;

  bool operator==(const DocumentError &) const = default;
};

using DocumentErrors = std::vector<DocumentError>;

Result<Document, DocumentErrors> parseDocument(std::string_view Text);

// Canonical text: the same for equal documents.
std::string formatDocument(const Document &Value);

// An operation that an earlier version was accepted by.
struct PastOperation {
  uint64_t Version = 0;
  std::string OperationId;

  bool operator==(const PastOperation &) const = default;
};

// Past operations that an envelope remembers at most.
constexpr size_t MaxPastOperations = 8;

struct Envelope {
  uint64_t Version = 0;
  std::string OperationId;
  std::string Author;
  WallTime Written;
  Document Body;
  // Of the versions before, newest first, so that the author of a version that
  // was replaced before its acceptance was answered can be told of it.
  std::vector<PastOperation> Past = {};

  // Past as the next envelope has it.
  std::vector<PastOperation> pastOfNext() const;

  // The version that OperationId was accepted as, if it is remembered.
  std::optional<uint64_t> versionOf(std::string_view Operation) const;
};

std::string formatEnvelope(const Envelope &Value);
Result<Envelope, DocumentErrors> parseEnvelope(std::string_view Text);

// Hash of an envelope's text.
uint64_t digestOf(std::string_view Text);

} // namespace cyclamenwind

#endif
