// RolloutService: step-by-step rollouts of service versions, on one daemon.
//
// A rollout is called a "move" on the wire, in the document, in stored keys, in
// logs and in the operators' commands.
//
// The service chooses the version of each call by the rollout records that this
// daemon has, and counts the outcomes of calls as evidence. It also takes part
// in the decisions: it collects and analyzes the fleet's evidence for the
// rollouts for which this daemon ranks first, and it writes all rollout records
// while this daemon holds the lease.
//
// A daemon whose records may be stale sends calls to the new version only if
// the rollout is recorded as done.

#ifndef CYCLAMENWIND_ROLLOUTS_SERVICE_H
#define CYCLAMENWIND_ROLLOUTS_SERVICE_H

#include "cyclamenwind/config/store.h"
#include "cyclamenwind/rollouts/evidence_collector.h"
#include "cyclamenwind/rollouts/record_gossip.h"
#include "cyclamenwind/rollouts/record_watch.h"
#include "cyclamenwind/rollouts/record_writer.h"
#include "cyclamenwind/store/lease.h"

#include <unordered_map>

#include <nlohmann/json.hpp>

namespace cyclamenwind {

// A service named "versions".
class RolloutService final : public Service,
                             public VersionChooser,
                             public RolloutInputs {
public:
  RolloutService();
  ~RolloutService() override;

  std::string_view name() const override { return "versions"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  std::string versionFor(const ServiceSpec &Service, const RouteSpec &Route,
                         uint64_t CallerHash, bool PreferOld,
                         TimePoint Now) override;
  void observe(const AttemptOutcome &Outcome, TimePoint Now) override;

  // State of each rollout as this daemon has it, for operators.
  nlohmann::json status() const;

  const RolloutRecords &records() const { return Records; }

  // Whether this daemon holds the lease for writing rollout records.
  bool holdsLease() const;

  // RolloutInputs, for the record writer.
  SnapshotPtr snapshot() const override { return Config->current(); }
  bool serversReady(const RolloutSpec &Spec) const override;
  std::optional<RolloutProgress>
  progress(const std::string &Name) const override;
  std::optional<RolloutFault> fault(const std::string &Name) const override;
  void onRecorded(const RolloutRecord &Record, bool Written) override;

private:
  // The rollout of one service, with the evidence not yet reported.
  struct ActiveRollout {
    RolloutSpec Spec;
    uint64_t Seed = 0;
    Evidence Observed;
    std::map<std::string, TimePoint> FirstSeen; // By member, new version only.
    uint64_t ReportedRevision = 0;
    bool ReportedStopped = false;
    TimePoint LastReport;
  };

  bool recordsCurrent(TimePoint Now) const;
  bool hasServers(const std::string &Service, const std::string &Version) const;
  void documentChanged(const SnapshotPtr &Current);
  void mergeRecord(const RolloutRecord &Record);
  void tick();
  void trackServers(ActiveRollout &Rollout, TimePoint Now);
  void report(const std::string &Name, ActiveRollout &Rollout, TimePoint Now);
  void analyze(const std::string &Name, TimePoint Now);
  void receiveEvidence(const Address &From, std::string_view Payload);
  void receiveProgress(const Address &From, std::string_view Payload);
  void collect(const std::string &Name, const EvidenceReport &Report);
  std::vector<std::string> liveMembers() const;
  std::vector<RouteSpec> routesOf(const std::string &Service) const;

  struct ReceivedProgress {
    RolloutProgress Progress;
    TimePoint ReceivedAt;
  };

  Clock *Time = nullptr;
  Random *Rng = nullptr;
  ConfigStore *Config = nullptr;
  MembershipView *Members = nullptr;
  PeerTransport *Peers = nullptr;
  RolloutRecords Records;
  EvidenceCollector Collector;
  std::map<std::string, ActiveRollout> Rollouts;          // By rollout name.
  std::unordered_map<std::string, std::string> ByService; // Rollout names.
  std::map<std::string, ReceivedProgress> ProgressReports;
  std::unique_ptr<RecordGossip> Gossip;
  std::unique_ptr<RolloutRecordWatch> RecordWatch;
  std::unique_ptr<Lease> TheLease;
  std::unique_ptr<RolloutRecordWriter> RecordWriter;
  TimerHandle TickTimer;
  TimePoint LastReportTick;
  bool Contending = false;
};

} // namespace cyclamenwind

#endif
