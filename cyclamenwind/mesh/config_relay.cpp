#include "cyclamenwind/mesh/config_relay.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/text_patch.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// Interval at which relays announce the revision that they have.
constexpr Duration AnnouncePeriod = 2s;
// Two announcement periods plus 500 ms for delays. A daemon does not rely on a
// relay that announced nothing for longer, because a configuration must be
// applied within two seconds of its acceptance.
constexpr Duration RelayTimeout = 4500ms;

} // namespace

void ConfigRelay::start(Kernel &TheKernel) {
  Time = &TheKernel.clock();
  State = &TheKernel.find<MeshState>("mesh_state");
  Store = &TheKernel.find<StoreSync>("store_sync");
  Peers = &TheKernel.find<PeerTransport>("peers");
  Peers->handle(FrameType::ConfigPush,
                [this](const Address &From, std::string_view Payload) {
                  receive(From, Payload);
                });
  State->onConfigReplaced(
      [this](uint64_t PreviousRevision, std::string_view PreviousText) {
        configChanged(PreviousRevision, PreviousText);
      });
  Store->ConfigIsRelayed = [this] {
    return relayAnnouncedWithin(RelayTimeout);
  };
  AnnounceTimer =
      TheKernel.scheduler().every(AnnouncePeriod, [this] { tick(); });
}

bool ConfigRelay::relayAnnouncedWithin(Duration Span) const {
  TimePoint Now = Time->now();
  return std::any_of(
      LastAnnounced.begin(), LastAnnounced.end(),
      [&](const auto &Entry) { return Now - Entry.second < Span; });
}

// Whether a relay with a lower address is active and sends the patches.
bool ConfigRelay::hasEarlierRelay() const {
  TimePoint Now = Time->now();
  return std::any_of(
      LastAnnounced.begin(), LastAnnounced.end(), [&](const auto &Entry) {
        return Entry.first < Peers->self() && Now - Entry.second < RelayTimeout;
      });
}

bool ConfigRelay::isActiveRelay() const {
  return Store->isRelay() && Store->configReachable();
}

void ConfigRelay::configChanged(uint64_t PreviousRevision,
                                std::string_view PreviousText) {
  if (!isActiveRelay())
    return;
  std::string Patch;
  if (PreviousRevision != 0 && !hasEarlierRelay())
    Patch = makePatch(PreviousText, State->configText());
  push(Patch, PreviousRevision);
}

void ConfigRelay::tick() {
  TimePoint Now = Time->now();
  std::erase_if(LastAnnounced, [Now](const auto &Entry) {
    return Now - Entry.second >= RelayTimeout;
  });
  if (isActiveRelay())
    push("", 0);
}

void ConfigRelay::push(const std::string &Patch, uint64_t BaseRevision) {
  wire::ConfigPush Message;
  Message.revision = static_cast<int64_t>(State->configRevision());
  Message.baseRevision = static_cast<int64_t>(BaseRevision);
  Message.patch = Patch;
  std::string Payload = encodeMessage(Message);
  for (const Address &Peer : Store->domainPeers())
    if (Peers->isConnected(Peer))
      Peers->send(Peer, FrameType::ConfigPush, Payload);
}

void ConfigRelay::receive(const Address &From, std::string_view Payload) {
  Result<wire::ConfigPush, FrameError> Decoded =
      decodeMessage<wire::ConfigPush>(Payload);
  if (!Decoded) {
    logWarning("frame_malformed", {{"peer", From.text()}});
    return;
  }
  const wire::ConfigPush &Message = Decoded.value();
  auto Revision = static_cast<uint64_t>(Message.revision);
  LastAnnounced[From] = Time->now();
  if (Revision <= State->configRevision())
    return;
  bool Applies =
      !Message.patch.empty() &&
      static_cast<uint64_t>(Message.baseRevision) == State->configRevision();
  if (!Applies) {
    State->reportPeerRevision(From, Revision);
    return;
  }
  std::optional<std::string> Text =
      applyPatch(State->configText(), Message.patch, MaxConfigBytes);
  std::optional<MeshConfig> Config;
  if (Text)
    Config = Codec.config(*Text, Revision);
  if (!Config) {
    logError("config_unreadable",
             {{"peer", From.text()}, {"revision", Revision}});
    State->reportPeerRevision(From, Revision);
    return;
  }
  Store->onConfigPushed(Revision);
  State->apply(std::move(*Config), std::move(*Text));
}

} // namespace cyclamenwind
