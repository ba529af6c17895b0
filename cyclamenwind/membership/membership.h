// Membership: the service that keeps the roster in step with other daemons.
//
// It runs MemberProtocol (protocol.h) on the peers' transport, and finds other
// daemons through the meeting points (meeting.h) or, while the platform cannot
// be read, through the peers listed in the settings. The meeting points are
// read again from time to time, so that daemons that have lost each other meet
// anew.

#ifndef CYCLAMENWIND_MEMBERSHIP_MEMBERSHIP_H
#define CYCLAMENWIND_MEMBERSHIP_MEMBERSHIP_H

#include "cyclamenwind/base/kernel.h"
#include "cyclamenwind/base/settings.h"
#include "cyclamenwind/membership/protocol.h"
#include "cyclamenwind/membership/server_registrations.h"
#include "cyclamenwind/peer/transport.h"
#include "cyclamenwind/store/client.h"

namespace cyclamenwind {

// Read side of the membership; a service named "membership" offers it.
class MembershipView {
public:
  virtual ~MembershipView() = default;

  // Backend servers of Service that may receive calls, all versions.
  virtual const std::vector<Endpoint> &
  endpoints(const std::string &Service) const = 0;
  virtual const MemberList &memberList() const = 0;
  virtual const Member &self() const = 0;
};

class Membership final : public Service, public MembershipView {
public:
  Membership(const Settings &TheSettings, int64_t Incarnation);

  std::string_view name() const override { return "membership"; }
  void start(Kernel &TheKernel) override;
  void stop() override;

  const std::vector<Endpoint> &
  endpoints(const std::string &Service) const override;
  const MemberList &memberList() const override {
    return Protocol->memberList();
  }
  const Member &self() const override { return Protocol->self(); }

  // Tells all members that this one takes no more calls.
  void leave();

private:
  void publishSelf();
  void post(const Outbox &Messages);
  void readMeetingPoints();
  void meet(const PlatformListing &Listing);
  void write(const std::string &Key, const std::vector<Address> &Peers,
             uint64_t IfVersion);
  void meetAgain(Duration Delay);
  void retryMeeting();

  MembershipSettings Options;
  Member Initial;
  std::unique_ptr<MemberProtocol> Protocol;
  PlatformClient *Platform = nullptr;
  PeerTransport *Peers = nullptr;
  ServerRegistrations *Local = nullptr;
  Clock *Time = nullptr;
  Random *Rng = nullptr;
  Scheduler *Timers = nullptr;
  TimerHandle TickTimer;
  TimerHandle MeetingTimer;
  int MeetingFailures = 0;
  int MeetingsRead = 0;
};

} // namespace cyclamenwind

#endif
