#include "cyclamenwind/operators/runtime_metrics.h"

#include <prometheus/gauge.h>

namespace cyclamenwind {
namespace {

constexpr int FrameTypes = 256;

constexpr std::array<MemberState, 4> States = {
    MemberState::Alive, MemberState::Suspect, MemberState::Left,
    MemberState::Dead};

} // namespace

RuntimeMetrics::GaugeFamily &
RuntimeMetrics::registerGauge(const std::string &Name,
                              const std::string &Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(
      Counters->registry());
}

void RuntimeMetrics::start(Kernel &TheKernel) {
  Counters = &TheKernel.find<Metrics>("metrics");
  Config = &TheKernel.find<ConfigStore>("config");
  Members = &TheKernel.find<MembershipView>("membership");
  Peers = &TheKernel.find<PeerTransport>("peers");
  Trail = &TheKernel.find<AuditTrail>("audit");
  PeerBytes =
      &registerGauge("cyclamenwind_peer_sent_bytes",
                     "Octets sent to daemons by number of the frame type.");
  PeerFrames =
      &registerGauge("cyclamenwind_peer_sent_frames",
                     "Frames sent to daemons by number of the frame type.");
  MembersByState =
      &registerGauge("cyclamenwind_members", "Members known, by their state.");
  AuditPending = &registerGauge("cyclamenwind_audit_pending",
                                "Audit entries not on the platform yet.")
                      .Add({});
  AuditDropped = &registerGauge("cyclamenwind_audit_dropped",
                                "Audit entries lost by this daemon.")
                      .Add({});
}

void RuntimeMetrics::refresh() {
  Counters->setConfigVersion(Config->version());
  for (int Type = 0; Type < FrameTypes; ++Type) {
    FrameCount Sent = Peers->sent(static_cast<FrameType>(Type));
    if (Sent.Frames == 0)
      continue;
    prometheus::Labels Labels = {{"type", std::to_string(Type)}};
    PeerBytes->Add(Labels).Set(static_cast<double>(Sent.Bytes));
    PeerFrames->Add(Labels).Set(static_cast<double>(Sent.Frames));
  }
  std::map<MemberState, int> Counts;
  for (const auto &[Id, Record] : Members->memberList().members())
    ++Counts[Record.State];
  for (MemberState State : States)
    MembersByState->Add({{"state", std::string(nameOf(State))}})
        .Set(Counts[State]);
  AuditPending->Set(static_cast<double>(Trail->pending()));
  AuditDropped->Set(static_cast<double>(Trail->dropped()));
}

} // namespace cyclamenwind
