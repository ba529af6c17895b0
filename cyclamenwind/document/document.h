// Document: the configuration that operators write and accept.
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
// The JSON key "moves" lists rollouts and "repeatable" means idempotent; these
// keys are part of the format and do not change.
//
// parseDocument() checks the whole text and reports all errors at once, each
// with the JSON pointer of its location. In a parsed Document every route and
// every rollout refers to a service of the same document.
//
// The platform stores the document in an Envelope, which adds its version, the
// id of the operation that wrote it, its author and the time of writing.

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

// Maximum size of a document's text. The platform stores values of up to 1 MB.
constexpr size_t MaxDocumentBytes = 1000 * 1000;

// Calls of higher priority run first when a backend server is short of slots.
enum class Priority { Background, Normal, Urgent };

std::string_view nameOf(Priority Value);

// Handling of a request that arrives again with the same Idempotency-Key.
enum class ResubmissionRule {
  Forward, // It is sent on like any other request.
  Claim,   // It is not run again; see traffic/claims.h.
};

std::string_view nameOf(ResubmissionRule Value);

struct ServiceSpec {
  std::string Name;
  // Version of the backend servers that receive the calls while no rollout
  // is in progress.
  std::string Version;

  bool operator==(const ServiceSpec &) const = default;
};

struct RouteSpec {
  std::string Name;
  std::string Service;
  std::string Method; // Empty matches every method.
  std::string PathPrefix;
  Duration Deadline = 1s;
  // Whether a call may be executed more than once.
  bool Idempotent = false;
  Priority Urgency = Priority::Normal;
  ResubmissionRule Resubmission = ResubmissionRule::Forward;

  bool operator==(const RouteSpec &) const = default;
};

// Outcome of a rollout that is undecided at its deadline.
enum class DeadlineRule { RollBack, StayUndecided };

std::string_view nameOf(DeadlineRule Value);

// Action of a rollout step whose time is over with too few calls for the
// configured miss rate.
enum class InsufficientEvidenceRule { Hold, Advance };

std::string_view nameOf(InsufficientEvidenceRule Value);

struct RolloutSpec {
  std::string Name;
  std::string Service;
  std::string To;    // The new version.
  WallTime Deadline; // Time by which the rollout must be finished.
  DeadlineRule AtSetTime = DeadlineRule::RollBack;
  InsufficientEvidenceRule WhenEvidenceIsShort = InsufficientEvidenceRule::Hold;
  // Smallest regression that the canary analysis must detect: increase of the
  // error rate over the old version, as a share of calls, and latency as a
  // multiple of the old version's.
  double MaxErrorIncrease = 0.05;
  double MaxLatencyFactor = 2;
  // Probability that a good version is rolled back, and probability that a
  // regression of the above size is not detected within the number of calls
  // that a step waits for.
  double FalseAlarmRate = 0.005;
  double MissRate = 0.005;
  // The canary analysis ignores the latency of a backend server for this long
  // after the server is first seen.
  Duration SlowStart = 30s;

  bool operator==(const RolloutSpec &) const = default;
};

struct Document {
  std::vector<ServiceSpec> Services;
  std::vector<RouteSpec> Routes;
  std::vector<RolloutSpec> Rollouts;

  bool operator==(const Document &) const = default;

  // Returns the service named Name; null if there is none.
  const ServiceSpec *service(std::string_view Name) const;
};

struct DocumentError {
  std::string Path; // JSON pointer, such as "/routes/0/service".
  std::string Message;

  bool operator==(const DocumentError &) const = default;
};

using DocumentErrors = std::vector<DocumentError>;

// Parses and checks a document.
Result<Document, DocumentErrors> parseDocument(std::string_view Text);

// Returns the canonical text: equal documents have equal texts.
std::string formatDocument(const Document &Value);

// The operation that wrote an earlier version.
struct PastOperation {
  uint64_t Version = 0;
  std::string OperationId;

  bool operator==(const PastOperation &) const = default;
};

// Maximum number of past operations in an envelope.
constexpr size_t MaxPastOperations = 8;

struct Envelope {
  uint64_t Version = 0;
  std::string OperationId;
  std::string Author;
  WallTime Written;
  Document Body;
  // Operations of the preceding versions, newest first. If a version is
  // replaced before the response to its author was sent, the author still
  // learns from this list that the version was accepted.
  std::vector<PastOperation> Past = {};

  // Returns the value of Past for the envelope of the next version.
  std::vector<PastOperation> pastOfNext() const;

  // Returns the version that Operation wrote. Returns nothing if it is neither
  // this version nor listed in Past.
  std::optional<uint64_t> versionOf(std::string_view Operation) const;
};

std::string formatEnvelope(const Envelope &Value);
Result<Envelope, DocumentErrors> parseEnvelope(std::string_view Text);

// Returns the XXH3 64-bit hash of Text.
uint64_t digestOf(std::string_view Text);

} // namespace cyclamenwind

#endif
