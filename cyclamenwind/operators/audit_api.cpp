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

// Parses a number of the query string. Returns Default if it is absent,
// malformed or not positive, otherwise the smaller of the number and Limit.
template <typename T> T numberOr(const std::string &Text, T Default, T Limit) {
  T Value = 0;
  auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  bool Valid = Error == std::errc() && End == Text.data() + Text.size();
  return Valid && Value > 0 ? std::min(Value, Limit) : Default;
}

} // namespace

struct AuditApi::Query {
  ExchangePtr Received;
  std::string Action; // Empty: all actions.
  WallTime Next;      // The hour to read next; hours are read backwards.
  WallTime Oldest;
  size_t Limit = 0;
  bool Complete = true;
  std::map<std::string, AuditRecord> Records; // By operation id.
  json Days = json::array();

  // If an operation has two entries, the earlier one is kept.
  void add(const AuditRecord &Record) {
    if (!Action.empty() && Record.Entry.Action != Action)
      return;
    auto [Existing, Inserted] = Records.insert({Record.OperationId, Record});
    if (!Inserted && Record.Entry.Time < Existing->second.Entry.Time)
      Existing->second = Record;
  }

  void addHour(const std::string &Text) {
    Result<AuditHour, AuditObjectError> Hour = AuditHour::parse(Text);
    Complete = Complete && Hour && Hour.value().omitted() == 0;
    if (Hour)
      for (const AuditRecord &Record : Hour.value().records())
        add(Record);
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
  Documents->recordActiveDocument();
  const HttpRequest &Request = Received->request();
  auto TheQuery = std::make_shared<Query>();
  TheQuery->Received = Received;
  TheQuery->Action = Request.queryValue("action");
  TheQuery->Next = auditHourOf(Time->wallNow());
  int Hours = numberOr(Request.queryValue("hours"), DefaultHours, MaxHours);
  TheQuery->Oldest = TheQuery->Next - std::chrono::hours(Hours);
  TheQuery->Limit =
      numberOr(Request.queryValue("limit"), DefaultLimit, MaxLimit);
  readNextHours(TheQuery);
}

void AuditApi::readNextHours(const QueryPtr &TheQuery) {
  if (TheQuery->Next < TheQuery->Oldest ||
      TheQuery->Records.size() >= TheQuery->Limit) {
    readDays(TheQuery);
    return;
  }
  std::string Prefix = auditTenHoursPrefix(TheQuery->Next);
  while (auditTenHoursPrefix(TheQuery->Next) == Prefix)
    TheQuery->Next -= std::chrono::hours(1);
  Platform->list(
      Prefix, [this, TheQuery](Result<PlatformListing, PlatformError> Listing) {
        if (!Listing) {
          TheQuery->Complete = false;
          reply(TheQuery);
          return;
        }
        for (const PlatformObject &Object : Listing.value().Objects)
          TheQuery->addHour(Object.Value);
        readNextHours(TheQuery);
      });
}

void AuditApi::readDays(const QueryPtr &TheQuery) {
  Platform->list(
      "audit/day/",
      [this, TheQuery](Result<PlatformListing, PlatformError> Listing) {
        TheQuery->Complete = TheQuery->Complete && bool(Listing);
        if (Listing)
          for (const PlatformObject &Object : Listing.value().Objects) {
            Result<AuditDay, AuditObjectError> Day =
                AuditDay::parse(Object.Value);
            TheQuery->Complete = TheQuery->Complete && bool(Day);
            json Lines = json::array();
            if (Day)
              for (const AuditSummary &Line : Day.value().lines())
                Lines.push_back(jsonOf(Line));
            TheQuery->Days.push_back(
                {{"day", Object.Key.substr(Object.Key.rfind('/') + 1)},
                 {"lines", Lines}});
          }
        reply(TheQuery);
      });
}

void AuditApi::reply(const QueryPtr &TheQuery) {
  for (const AuditRecord &Record : Trail->pendingRecords())
    TheQuery->add(Record);
  std::vector<const AuditRecord *> Sorted;
  for (const auto &[Id, Record] : TheQuery->Records)
    Sorted.push_back(&Record);
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const AuditRecord *A, const AuditRecord *B) {
                     return A->Entry.Time > B->Entry.Time;
                   });
  if (Sorted.size() > TheQuery->Limit)
    Sorted.resize(TheQuery->Limit);
  std::set<std::string> Pending;
  for (const AuditRecord &Record : Trail->pendingRecords())
    Pending.insert(Record.OperationId);
  json Entries = json::array();
  for (const AuditRecord *Record : Sorted) {
    Entries.push_back(jsonOf(*Record));
    if (Pending.count(Record->OperationId) != 0)
      Entries.back()["pending"] = true;
  }
  replyJson(TheQuery->Received, 200,
            {{"entries", Entries},
             {"days", TheQuery->Days},
             {"complete", TheQuery->Complete},
             {"pending", Trail->pending()},
             {"dropped", Trail->dropped()}});
}

} // namespace cyclamenwind
