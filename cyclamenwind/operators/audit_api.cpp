#include "cyclamenwind/operators/audit_api.h"

#include <algorithm>
#include <charconv>

namespace cyclamenwind {
namespace {

using nlohmann::json;

constexpr int DefaultHours = 24;
constexpr int MaxHours = 24 * 7;
constexpr size_t DefaultLimit = 200;
constexpr size_t MaxLimit = 5000;

// A number of the query; Default if absent or malformed, at most Limit.
template <typename T> T numberOr(const std::string &Text, T Default, T Limit) {
  T Value = 0;
  auto [Rest, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  bool Whole = Error == std::errc() && Rest == Text.data() + Text.size();
  return Whole && Value > 0 ? std::min(Value, Limit) : Default;
}

} // namespace

struct AuditApi::Reading {
  ExchangePtr Received;
  std::string Action; // Empty: all.
  WallTime Next;      // The hour to read next, going back.
  WallTime Oldest;
  size_t Limit = 0;
  bool Complete = true;
  std::map<std::string, AuditRecord> Records; // By operation.
  json Days = json::array();

  // Of an operation that stands twice the earlier entry counts.
  void add(const AuditRecord &Record) {
    if (!Action.empty() && Record.Entry.Action != Action)
      return;
    auto [Place, New] = Records.insert({Record.OperationId, Record});
    if (!New && Record.Entry.Time < Place->second.Entry.Time)
      Place->second = Record;
  }

  void addHour(const std::string &Text) {
    Result<AuditHour, AuditObjectError> Hour = AuditHour::parse(Text);
    Complete = Complete && Hour && Hour.value().omitted() == 0;
    if (Hour)
      for (const AuditRecord &Each : Hour.value().records())
        add(Each);
  }
};

void AuditApi::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  Platform = &TheKernel.find<PlatformClient>("platform");
  Trail = &TheKernel.find<AuditTrail>("audit");
  Documents = &TheKernel.find<DocumentApi>("document_api");
  OperatorApi &Api = TheKernel.find<OperatorApi>("operators");
  Api.route("GET", "/api/audit",
            [this](const ExchangePtr &Received) { read(Received); });
  Api.addStatus("audit", [this] {
    return json{{"pending", Trail->pending()},
                {"written", Trail->written()},
                {"dropped", Trail->dropped()}};
  });
}

void AuditApi::read(const ExchangePtr &Received) {
  Documents->recordPresent();
  const HttpRequest &Query = Received->request();
  auto Request = std::make_shared<Reading>();
  Request->Received = Received;
  Request->Action = Query.queryValue("action");
  Request->Next = auditHourOf(Time->wallNow());
  int Hours = numberOr(Query.queryValue("hours"), DefaultHours, MaxHours);
  Request->Oldest = Request->Next - std::chrono::hours(Hours);
  Request->Limit = numberOr(Query.queryValue("limit"), DefaultLimit, MaxLimit);
  readNextHours(Request);
}

void AuditApi::readNextHours(const ReadingPtr &Request) {
  if (Request->Next < Request->Oldest ||
      Request->Records.size() >= Request->Limit) {
    readDays(Request);
    return;
  }
  std::string Prefix = auditTenHoursPrefix(Request->Next);
  while (auditTenHoursPrefix(Request->Next) == Prefix)
    Request->Next -= std::chrono::hours(1);
  Platform->list(
      Prefix, [this, Request](Result<PlatformListing, PlatformError> Listing) {
        if (!Listing) {
          Request->Complete = false;
          reply(Request);
          return;
        }
        for (const PlatformObject &Object : Listing.value().Objects)
          Request->addHour(Object.Value);
        readNextHours(Request);
      });
}

void AuditApi::readDays(const ReadingPtr &Request) {
  Platform->list(
      "audit/day/",
      [this, Request](Result<PlatformListing, PlatformError> Listing) {
        Request->Complete = Request->Complete && bool(Listing);
        if (Listing)
          for (const PlatformObject &Object : Listing.value().Objects) {
            Result<AuditDay, AuditObjectError> Day =
                AuditDay::parse(Object.Value);
            Request->Complete = Request->Complete && bool(Day);
            json Lines = json::array();
            if (Day)
              for (const AuditSummary &Line : Day.value().lines())
                Lines.push_back(jsonOf(Line));
            Request->Days.push_back(
                {{"day", Object.Key.substr(Object.Key.rfind('/') + 1)},
                 {"lines", Lines}});
          }
        reply(Request);
      });
}

void AuditApi::reply(const ReadingPtr &Request) {
  for (const AuditRecord &Each : Trail->pendingRecords())
    Request->add(Each);
  std::vector<const AuditRecord *> Sorted;
  for (const auto &[Id, Each] : Request->Records)
    Sorted.push_back(&Each);
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const AuditRecord *A, const AuditRecord *B) {
                     return A->Entry.Time > B->Entry.Time;
                   });
  if (Sorted.size() > Request->Limit)
    Sorted.resize(Request->Limit);
  std::set<std::string> Pending;
  for (const AuditRecord &Each : Trail->pendingRecords())
    Pending.insert(Each.OperationId);
  json Entries = json::array();
  for (const AuditRecord *Each : Sorted) {
    Entries.push_back(jsonOf(*Each));
    if (Pending.count(Each->OperationId) != 0)
      Entries.back()["pending"] = true;
  }
  replyJson(Request->Received, 200,
            {{"entries", Entries},
             {"days", Request->Days},
             {"complete", Request->Complete},
             {"pending", Trail->pending()},
             {"dropped", Trail->dropped()}});
}

} // namespace cyclamenwind
