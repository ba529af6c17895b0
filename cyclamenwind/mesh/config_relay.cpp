#include "cyclamenwind/mesh/config_relay.h"

#include "cyclamenwind/base/log.h"
#include "cyclamenwind/base/text_patch.h"

#include <algorithm>

namespace cyclamenwind {
namespace {

// How often relays say which revision they have.
constexpr Duration AnnouncePeriod = 2s;
// A relay that was not heard of for two periods and some delay is not counted
// on: configuration has to be in force two seconds after it was accepted.
constexpr Duration RelayPatience = 4500ms;

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
  Store->ConfigIsRelayed = [this] { return heardWithin(RelayPatience); };
  Ticker = TheKernel.scheduler().every(AnnouncePeriod, [this] { tick(); });
}

bool ConfigRelay::heardWithin(Duration Span) const {
  TimePoint Now = Time->now();
  return std::any_of(Heard.begin(), Heard.end(), [&](const auto &Entry) {
    return Now - Entry.second < Span;
  });
}

// Whether a relay that comes before this one does the work.
bool ConfigRelay::heardEarlierRelay() const {
  TimePoint Now = Time->now();
  return std::any_of(Heard.begin(), Heard.end(), [&](const auto &Entry) {
    return Entry.first < Peers->self() && Now - Entry.second < RelayPatience;
  });
}

bool ConfigRelay::relaysNow() const {
  return Store->isRelay() && Store->configReachable();
}

void ConfigRelay::configChanged(uint64_t PreviousRevision,
                                std::string_view PreviousText) {
  if (!relaysNow())
    return;
  std::string Patch;
  if (PreviousRevision != 0 && !heardEarlierRelay())
    Patch = makePatch(PreviousText, State->configText());
  push(Patch, PreviousRevision);
}

void ConfigRelay::tick() {
  TimePoint Now = Time->now();
  std::erase_if(Heard, [Now](const auto &Entry) {
    return Now - Entry.second >= RelayPatience;
  });
  if (relaysNow())
    push("", 0);
}

void ConfigRelay::push(const std::string &Patch, uint64_t BaseRevision) {
  wire::ConfigPush Message;
  Message.revision = static_cast<int64_t>(State->configRevision());
  Message.baseRevision = static_cast<int64_t>(BaseRevision);
  Message.patch = Patch;
  std::string Payload = encodeMessage(Message);
  for (const Address &Each : Store->domainPeers())
    if (Peers->isConnected(Each))
      Peers->send(Each, FrameType::ConfigPush, Payload);
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
  Heard[From] = Time->now();
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
  Store->configPushed(Revision);
  State->apply(std::move(*Config), std::move(*Text));
}

} // namespace cyclamenwind
