// RolloutService: version moves on one daemon.
//
// Chooses the version of each call by what the daemon knows of the service's
// move, gathers evidence, and takes part in deciding: as the collector of the
// moves that it ranks first for, and as the keeper of the records while it
// holds the lease. A daemon that is unsure of the moves sends no call to the
// new version of one that is not recorded as done.

#ifndef CYCLAMENWIND_ROLLOUTS_SERVICE_H
#define CYCLAMENWIND_ROLLOUTS_SERVICE_H

#include "cyclamenwind/config/store.h"
#include "cyclamenwind/rollouts/evidence_collector.h"
#include "cyclamenwind/rollouts/evidence_gossip.h"
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

  // What this daemon knows of each move, for operators.
  nlohmann::json status() const;

  const RolloutRecords &book() const { return Book; }

  // Whether this daemon holds the lease of moves.
  bool holdsLease() const;

  // What the keeper of the records sees.
  SnapshotPtr snapshot() const override { return Config->current(); }
  bool serversReady(const RolloutSpec &Spec) const override;
  std::optional<RolloutProgress>
  standing(const std::string &Move) const override;
  std::optional<RolloutFault> fault(const std::string &Move) const override;
  void recorded(const RolloutRecord &Record, bool Written) override;

private:
  // The move of one service, ready for calls.
  struct Active {
    RolloutSpec Spec;
    uint64_t Seed = 0;
    Evidence Seen;
    std::map<std::string, TimePoint> FirstSeen; // Servers of the new version.
    uint64_t ReportedRevision = 0;
    bool ReportedStopped = false;
    TimePoint LastReport;
  };

  bool sure(TimePoint Now) const;
  bool hasServers(const std::string &Service, const std::string &Version) const;
  void documentChanged(const SnapshotPtr &Current);
  void learned(const RolloutRecord &Record);
  void turn();
  void noteServers(Active &Move, TimePoint Now);
  void report(const std::string &Name, Active &Move, TimePoint Now);
  void judge(const std::string &Name, TimePoint Now);
  void receiveEvidence(const Address &From, std::string_view Payload);
  void receiveStanding(const Address &From, std::string_view Payload);
  void take(const std::string &Move, const EvidenceReport &Report);
  std::vector<std::string> liveMembers() const;
  std::vector<RouteSpec> routesOf(const std::string &Service) const;

  struct ReceivedStanding {
    RolloutProgress Standing;
    TimePoint At;
  };

  Clock *Time = nullptr;
  Random *Rng = nullptr;
  ConfigStore *Config = nullptr;
  MembershipView *Members = nullptr;
  PeerTransport *Peers = nullptr;
  RolloutRecords Book;
  EvidenceCollector Collector;
  std::map<std::string, Active> Rollouts;                 // By move.
  std::unordered_map<std::string, std::string> ByService; // Names of moves.
  std::map<std::string, ReceivedStanding> Standings;
  std::unique_ptr<EvidenceGossip> Spread;
  std::unique_ptr<RolloutRecordWatch> Feed;
  std::unique_ptr<Lease> TheLease;
  std::unique_ptr<RolloutRecordWriter> Keeper;
  TimerHandle TurnTimer;
  TimePoint LastReportTurn;
  bool Contending = false;
};

} // namespace cyclamenwind

#endif
