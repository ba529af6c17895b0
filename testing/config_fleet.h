// ConfigFleet: the distribution of configuration among hosts in virtual time.
//
// Each host runs the real store, acceptance and distribution over fakes of the
// platform and the peers. A host can crash, start anew with nothing kept, be
// paused and be cut off. After each step the fleet checks from outside: no host
// returns to an older version, what is in force is exactly what was accepted,
// and each route names a service of the same snapshot.

#ifndef CYCLAMENWIND_TESTING_CONFIG_FLEET_H
#define CYCLAMENWIND_TESTING_CONFIG_FLEET_H

#include "cyclamenwind/config/acceptance.h"
#include "cyclamenwind/config/config_distribution.h"
#include "testing/fake_peers.h"
#include "testing/fake_platform.h"
#include "testing/pausable.h"
#include "testing/virtual_time.h"

namespace cyclamenwind::testing {

// The same ideal roster for all hosts.
class FixedMembership final : public Service, public MembershipView {
public:
  FixedMembership(const MemberList &Shared, Member Self)
      : Shared(Shared), Self(std::move(Self)) {}
  std::string_view name() const override { return "membership"; }
  void start(Kernel &) override {}
  const std::vector<Endpoint> &endpoints(const std::string &) const override {
    return None;
  }
  const MemberList &memberList() const override { return Shared; }
  const Member &self() const override { return Self; }

private:
  const MemberList &Shared;
  Member Self;
  std::vector<Endpoint> None;
};

// One process on a host.
struct ConfigProcess {
  ConfigProcess(VirtualTime &Time, Random &Rng, FakePlatform &Platform,
                FakeNetwork &Network, const MemberList &Members,
                const Settings &TheSettings);

  FakePlatformClient Client;
  PausableProcess *Body;
  std::unique_ptr<Kernel> Services;
  ConfigStore *Store;
  Acceptance *Accepting;
  ConfigDistribution *Spread;
  FakePeers *Peers;
};

struct ConfigHost {
  Settings TheSettings;
  std::unique_ptr<ConfigProcess> Process; // Null after a crash.
  uint64_t Served = 0;                    // Highest version served ever.
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
  // Cuts a failure domain's hosts off from all others, or heals that.
  void cutOffDomain(size_t Domain, bool Cut);

  // Accepts a changed document through Host; false if it does not run.
  bool accept(size_t Host);

  // Lets time pass and checks.
  void run(Duration Span);

  // Ends all faults and starts every host.
  void heal();

  // Whether every running host has the newest accepted version.
  bool inForceEverywhere() const;
  uint64_t newest() const;
  size_t relays() const;

  // Runs until inForceEverywhere(); nothing if it takes longer than Limit.
  std::optional<Duration> settle(Duration Limit);

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
  // Acceptances that ended, by how: "accepted", "conflict", ...
  std::map<std::string, int> Outcomes;

private:
  void check();
  void checkHost(size_t Host, ConfigHost &Checked);
  Document nextDocument();
  Member recordOf(size_t Host) const;

  MemberList Members;
  int64_t Incarnation = 0;
  uint64_t Documents = 0;
  std::map<uint64_t, std::string> Accepted; // Text by version.
  std::vector<std::string> Trace;
};

} // namespace cyclamenwind::testing

#endif
