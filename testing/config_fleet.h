// ConfigFleet: accepting and distributing the configuration among hosts, in
// virtual time.
//
// Each host runs the real store, acceptance and distribution over fakes of the
// platform and the peer transport. A host can crash, restart with no state
// kept, be paused and be cut off. After each step the fleet checks these
// invariants: no host returns to an older version, each applied text is exactly
// an accepted one, and each route names a service of the same snapshot.

#ifndef CYCLAMENWIND_TESTING_CONFIG_FLEET_H
#define CYCLAMENWIND_TESTING_CONFIG_FLEET_H

#include "cyclamenwind/config/acceptance.h"
#include "cyclamenwind/config/config_distribution.h"
#include "testing/fake_peers.h"
#include "testing/fake_platform.h"
#include "testing/pausable.h"
#include "testing/virtual_time.h"

namespace cyclamenwind::testing {

// One member list shared by all hosts, always up to date.
class FixedMembership final : public Service, public MembershipView {
public:
  FixedMembership(const MemberList &Shared, Member Self)
      : Shared(Shared), Self(std::move(Self)) {}
  std::string_view name() const override { return "membership"; }
  void start(Kernel &) override {}
  const std::vector<Endpoint> &endpoints(const std::string &) const override {
    return NoEndpoints;
  }
  const MemberList &memberList() const override { return Shared; }
  const Member &self() const override { return Self; }

private:
  const MemberList &Shared;
  Member Self;
  std::vector<Endpoint> NoEndpoints;
};

// The services of one process on a host.
struct ConfigProcess {
  ConfigProcess(VirtualTime &Time, Random &Rng, FakePlatform &Platform,
                FakeNetwork &Network, const MemberList &Members,
                const Settings &TheSettings);

  FakePlatformClient Client;
  PausableProcess *Pausable;
  std::unique_ptr<Kernel> Services;
  ConfigStore *Store;
  Acceptance *Acceptor;
  ConfigDistribution *Distribution;
  FakePeers *Peers;
};

struct ConfigHost {
  Settings TheSettings;
  std::unique_ptr<ConfigProcess> Process; // Null after a crash.
  uint64_t HighestServed = 0;             // Over all processes.
  bool CutOff = false;                    // From the platform.
  bool Paused = false;
};

class ConfigFleet {
public:
  ConfigFleet(uint64_t Seed, size_t Hosts, size_t Domains);

  void start(size_t Host);
  void crash(size_t Host);
  void pause(size_t Host, bool Paused);
  void cutOffPlatform(size_t Host, bool CutOff);
  // Cuts the peer connections between a failure domain's hosts and all others,
  // or restores them.
  void cutOffDomain(size_t Domain, bool Cut);

  // Accepts a changed document through Host; false if Host is crashed or
  // paused.
  bool accept(size_t Host);

  // Advances the time by Span and checks the invariants at each step.
  void run(Duration Span);

  // Ends all faults and starts all hosts.
  void heal();

  // Whether every running host has applied the newest accepted version.
  bool appliedEverywhere() const;
  uint64_t newest() const;
  size_t relays() const;

  // Runs until appliedEverywhere() and returns the time taken. Returns nothing
  // if it takes longer than Limit.
  std::optional<Duration> runUntilApplied(Duration Limit);

  const Address &peerOf(size_t Host) const {
    return Hosts[Host].TheSettings.Addresses.Peers;
  }
  std::string traceText() const;
  void note(const std::string &Event);

  VirtualTime Time;
  Random Rng;
  FakePlatform Platform;
  FakeNetwork Network;
  std::vector<ConfigHost> Hosts;
  size_t Domains;
  std::vector<std::string> Violations;
  // Number of completed acceptances by outcome: "accepted", "conflict", ...
  std::map<std::string, int> Outcomes;

private:
  void check();
  void checkHost(size_t Host, ConfigHost &TheHost);
  Document nextDocument();
  Member memberRecord(size_t Host) const;

  MemberList Members;
  int64_t LastIncarnation = 0;
  uint64_t DocumentCount = 0;
  std::map<uint64_t, std::string> Accepted; // Text by version.
  std::vector<std::string> Trace;
};

} // namespace cyclamenwind::testing

#endif
