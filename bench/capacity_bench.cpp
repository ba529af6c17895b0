// Capacity figures for docs/CAPACITY.md: cost of one route, one member, one
// call frame and one audit entry, and the resulting cost at the target size.

#include "cyclamenwind/config/snapshot.h"
#include "cyclamenwind/document/diff.h"
#include "cyclamenwind/membership/membership.h"
#include "cyclamenwind/operators/audit_objects.h"
#include "cyclamenwind/operators/metrics.h"
#include "cyclamenwind/peer/frame.h"
#include "cyclamenwind/wire/gen-cpp/calls_types.h"
#include "testing/report.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <new>

#include <malloc.h>

namespace {

size_t LiveBytes = 0;
size_t Allocations = 0;

void *countedAllocate(size_t Size) {
  void *Memory = std::malloc(Size);
  if (Memory == nullptr)
    std::abort();
  LiveBytes += malloc_usable_size(Memory);
  ++Allocations;
  return Memory;
}

void countedFree(void *Memory) {
  LiveBytes -= malloc_usable_size(Memory);
  std::free(Memory);
}

} // namespace

void *operator new(size_t Size) { return countedAllocate(Size); }
void *operator new[](size_t Size) { return countedAllocate(Size); }
void operator delete(void *Memory) noexcept { countedFree(Memory); }
void operator delete[](void *Memory) noexcept { countedFree(Memory); }
void operator delete(void *Memory, size_t) noexcept { countedFree(Memory); }
void operator delete[](void *Memory, size_t) noexcept { countedFree(Memory); }

namespace {

using namespace cyclamenwind;
using testing::BenchReport;

// The target size and its limits (docs/CAPACITY.md).
constexpr int TargetMembers = 1100;
constexpr int TargetServices = 61;
constexpr int TargetDomains = 6;
constexpr int TargetRoutes = 1220;     // 20 per service.
constexpr double TargetCalls = 280000; // Per second, in the whole fleet.
constexpr double TargetChangesPerDay = 3200;
constexpr double SecondsPerDay = 86400;
constexpr double PlatformValueBytes = 1e6;
constexpr double MemoryLimitBytes = 128e6;
constexpr double ControlCoreShare = 0.036;

// Returns the time of one call of Work in microseconds: the minimum over five
// runs of the mean of Repeats calls.
template <typename F> double microsOf(F Work, int Repeats) {
  constexpr int Runs = 5;
  double Minimum = 1e18;
  for (int Run = 0; Run < Runs; ++Run) {
    auto Start = std::chrono::steady_clock::now();
    for (int I = 0; I < Repeats; ++I)
      Work();
    std::chrono::duration<double, std::micro> Elapsed =
        std::chrono::steady_clock::now() - Start;
    Minimum = std::min(Minimum, Elapsed.count() / Repeats);
  }
  return Minimum;
}

Envelope envelopeOf(int Routes) {
  Envelope Value;
  Value.Version = 12345;
  Value.OperationId = "op-1234567890123456789";
  Value.Author = "operator";
  for (int I = 0; I < TargetServices; ++I)
    Value.Body.Services.push_back({"service-" + std::to_string(I), "v1"});
  for (int I = 0; I < Routes; ++I) {
    RouteSpec Route;
    Route.Name = "route-" + std::to_string(I);
    Route.Service = "service-" + std::to_string(I % TargetServices);
    Route.Method = "GET";
    Route.PathPrefix = "/area-" + std::to_string(I % TargetServices) +
                       "/resource-" + std::to_string(I);
    Value.Body.Routes.push_back(Route);
  }
  return Value;
}

// Returns the heap bytes of one snapshot.
size_t snapshotBytes(const std::string &Text) {
  size_t BytesBefore = LiveBytes;
  Snapshot Current(parseEnvelope(Text).value(), Text);
  return LiveBytes - BytesBefore;
}

void measureDocument(BenchReport &Report) {
  constexpr int Few = 1000;
  constexpr int Many = 4000;
  std::string FewText = formatEnvelope(envelopeOf(Few));
  std::string ManyText = formatEnvelope(envelopeOf(Many));
  double Thousands = (Many - Few) / 1000.0;
  auto Parse = [](const std::string &Text) {
    return microsOf([&] { Snapshot(parseEnvelope(Text).value(), Text); }, 5);
  };
  double FewMicros = Parse(FewText);
  double ManyMicros = Parse(ManyText);
  Report.figure("document_text_per_route",
                double(ManyText.size() - FewText.size()) / (Many - Few),
                "bytes");
  Report.figure("snapshot_memory_per_route",
                double(snapshotBytes(ManyText) - snapshotBytes(FewText)) /
                    (Many - Few),
                "bytes");
  Report.figure("apply_per_1000_routes", (ManyMicros - FewMicros) / Thousands,
                "us");
  std::string TargetText = formatEnvelope(envelopeOf(TargetRoutes));
  double TargetMicros = Parse(TargetText);
  Report.atMost("document_text_at_target", double(TargetText.size()), "bytes",
                PlatformValueBytes);
  Report.figure("apply_at_target", TargetMicros, "us");
  Report.atMost("apply_core_share_at_target",
                TargetMicros * 1e-6 * TargetChangesPerDay / SecondsPerDay,
                "cores", ControlCoreShare);
  Snapshot Current(parseEnvelope(TargetText).value(), TargetText);
  Report.figure("route_lookup",
                microsOf(
                    [&] {
                      if (!Current.route("GET", "/area-7/resource-7/a/b"))
                        std::abort();
                    },
                    100000),
                "us");
  Document Changed = Current.document();
  Changed.Routes[5].Deadline = 7s;
  Report.figure(
      "diff_at_target",
      microsOf([&] { diffDocuments(Current.document(), Changed); }, 5), "us");
}

Member memberOf(int Number) {
  std::string Domain = "domain-" + std::to_string(Number % TargetDomains);
  Member Record;
  Record.Id = Domain + "-host-" + std::to_string(Number);
  Record.Incarnation = 1700000000000000 + Number;
  Record.Revision = 10;
  Record.Peer = {"10.20." + std::to_string(Number / 250) + "." +
                     std::to_string(Number % 250),
                 7100};
  Record.FailureDomain = Domain;
  Record.Instances = {
      {"service-" + std::to_string(Number % TargetServices), "v1", 10, false}};
  return Record;
}

// Returns the heap bytes of a member list and of the endpoints made from it.
size_t memberListBytes(int Members) {
  size_t BytesBefore = LiveBytes;
  MemberList List;
  for (int I = 0; I < Members; ++I)
    List.merge(memberOf(I));
  std::map<std::string, std::vector<Endpoint>> Endpoints;
  for (const auto &[Id, Record] : List.members())
    Endpoints[Record.Instances[0].Service].push_back(
        {Id, Record.Peer, Record.FailureDomain, Record.Instances[0].Version,
         10});
  return LiveBytes - BytesBefore;
}

void measureMemberList(BenchReport &Report) {
  constexpr int DoubleMembers = 2 * TargetMembers;
  double TargetBytes = double(memberListBytes(TargetMembers));
  double DoubleBytes = double(memberListBytes(DoubleMembers));
  Report.figure("roster_memory_per_member",
                (DoubleBytes - TargetBytes) / (DoubleMembers - TargetMembers),
                "bytes");
  std::string Text = formatEnvelope(envelopeOf(TargetRoutes));
  // While one snapshot replaces another, both are in memory.
  Report.atMost("state_memory_at_target",
                TargetBytes + 2 * double(snapshotBytes(Text)), "bytes",
                MemoryLimitBytes);
  MemberList Members;
  for (int I = 0; I < TargetMembers; ++I)
    Members.merge(memberOf(I));
  Report.figure("roster_digest_at_target",
                microsOf([&] { Members.digest(); }, 10), "us");
}

wire::CallRequest callRequest(size_t BodyBytes) {
  wire::CallRequest Call;
  Call.id = 123456;
  Call.serviceName = "service-7";
  Call.serverVersion = "v1";
  Call.route = "route-7";
  Call.method = "POST";
  Call.target = "/area-7/resource-7";
  for (int I = 0; I < 8; ++I) {
    wire::Header Header;
    Header.name = "X-Header-" + std::to_string(I);
    Header.value = "a value of an ordinary length";
    Call.headers.push_back(Header);
  }
  Call.body = std::string(BodyBytes, 'x');
  Call.remainingUs = 1000000;
  return Call;
}

wire::CallReply callReply(size_t BodyBytes) {
  wire::CallReply Reply;
  Reply.id = 123456;
  Reply.ending = wire::CallEnd::ANSWERED;
  Reply.status = 200;
  Reply.headers = callRequest(0).headers;
  Reply.body = std::string(BodyBytes, 'x');
  return Reply;
}

template <typename T>
double measureFrame(BenchReport &Report, const std::string &Name,
                    const T &Message) {
  constexpr int Repeats = 5000;
  std::string Encoded = encodeMessage(Message);
  size_t AllocationsBefore = Allocations;
  encodeMessage(Message);
  size_t EncodeAllocations = Allocations - AllocationsBefore;
  AllocationsBefore = Allocations;
  decodeMessage<T>(Encoded).value();
  size_t DecodeAllocations = Allocations - AllocationsBefore;
  double Encode = microsOf([&] { encodeMessage(Message); }, Repeats);
  double Decode = microsOf([&] { decodeMessage<T>(Encoded).value(); }, Repeats);
  Report.figure(Name + "_bytes", double(Encoded.size()), "bytes");
  Report.figure(Name + "_encode", Encode, "us");
  Report.figure(Name + "_decode", Decode, "us");
  Report.figure(Name + "_encode_allocations", double(EncodeAllocations),
                "count");
  Report.figure(Name + "_decode_allocations", double(DecodeAllocations),
                "count");
  return Encode + Decode;
}

void measureFrames(BenchReport &Report) {
  constexpr size_t BodyBytes = 1000;
  double PerCall =
      measureFrame(Report, "call_request", callRequest(BodyBytes)) +
      measureFrame(Report, "call_reply", callReply(BodyBytes));
  double CallsPerDaemon = TargetCalls / TargetMembers;
  Report.figure("calls_per_daemon_at_target", CallsPerDaemon, "calls/s");
  Report.figure("codec_core_share_at_target", PerCall * 1e-6 * CallsPerDaemon,
                "cores");
}

AuditRecord auditRecordOf(int Number) {
  AuditEntry Entry = {"operator-" + std::to_string(Number % 5),
                      "document_accepted",
                      "document",
                      std::to_string(100000 + Number),
                      std::to_string(100001 + Number),
                      "done",
                      WallTime(std::chrono::seconds(1785546000 + Number)),
                      "digest=0123456789abcdef"};
  return {"op-" + std::to_string(1234567890123456789 + Number), Entry};
}

void measureAudit(BenchReport &Report) {
  constexpr double DetailDays = 7;
  constexpr double SummaryDays = 60;
  int PerHour = static_cast<int>(TargetChangesPerDay / 24);
  AuditHour Hour;
  AuditDay Day;
  double WrittenBytes = 0;
  for (int I = 0; I < PerHour; ++I) {
    Hour.append(auditRecordOf(I));
    WrittenBytes += double(Hour.format().size());
  }
  for (int I = 0; I < 24; ++I)
    Day.fold("audit/hour/2026-08-01T" + std::to_string(10 + I), Hour, {});
  double HourBytes = double(Hour.format().size());
  double DayBytes = double(Day.format().size());
  Report.figure("audit_entry", HourBytes / PerHour, "bytes");
  Report.atMost("audit_hour_object", HourBytes, "bytes", PlatformValueBytes);
  Report.figure("audit_day_in_detail", HourBytes * 24, "bytes");
  Report.figure("audit_day_rolled_up", DayBytes, "bytes");
  Report.figure("audit_month_kept",
                HourBytes * 24 * DetailDays + DayBytes * (31 - DetailDays),
                "bytes");
  Report.figure("audit_all_kept",
                HourBytes * 24 * DetailDays + DayBytes * SummaryDays, "bytes");
  Report.figure("audit_bytes_written", WrittenBytes * 24 / SecondsPerDay,
                "bytes/s");
  AuditRecord Next = auditRecordOf(PerHour);
  Report.figure("audit_append",
                microsOf(
                    [&] {
                      AuditHour Copy = Hour;
                      Copy.append(Next);
                      Copy.format();
                    },
                    20),
                "us");
  AuditHour Full;
  for (int I = 0; Full.omitted() == 0; ++I)
    Full.append(auditRecordOf(I));
  Report.figure("audit_hour_full", double(Full.records().size()), "entries");
  Report.atMost("audit_hour_full_object", double(Full.format().size()), "bytes",
                PlatformValueBytes);
}

double residentBytes() {
  std::ifstream File("/proc/self/statm");
  double Pages = 0;
  File >> Pages >> Pages;
  return Pages * 4096;
}

} // namespace

int main() {
  BenchReport Report("capacity");
  Report.figure("process_resident_at_start", residentBytes(), "bytes");
  measureDocument(Report);
  measureMemberList(Report);
  measureFrames(Report);
  measureAudit(Report);
  return Report.status();
}
