#include "testing/platform_server.h"

#include <cstdio>
#include <cstdlib>

#include <nlohmann/json.hpp>

#include <event2/http.h>

namespace cyclamenwind::testing {
namespace {

using nlohmann::json;

constexpr std::string_view ObjectsPath = "/objects";

void replyJson(const ExchangePtr &Received, int Status, const json &Body) {
  Received->reply({Status, {}, Body.dump()});
}

int statusOf(PlatformError Error) {
  switch (Error) {
  case PlatformError::NotFound:
    return 404;
  case PlatformError::Conflict:
    return 409;
  case PlatformError::WatchGap:
    return 410;
  case PlatformError::TooLarge:
    return 413;
  default:
    return 500;
  }
}

void replyError(const ExchangePtr &Received, PlatformError Error) {
  replyJson(Received, statusOf(Error), {{"error", nameOf(Error)}});
}

json jsonOf(const PlatformObject &Object) {
  return {{"key", Object.Key},
          {"version", Object.Version},
          {"value", Object.Value}};
}

uint64_t numberIn(const HttpRequest &Request, const char *Name) {
  return std::strtoull(Request.queryValue(Name).c_str(), nullptr, 10);
}

// Key in "/objects/KEY"; empty for the listing.
std::string keyOf(const HttpRequest &Request) {
  std::string_view Path = Request.path().substr(ObjectsPath.size());
  if (Path.empty())
    return "";
  std::string Encoded(Path.substr(1));
  size_t Length = 0;
  char *Decoded = evhttp_uridecode(Encoded.c_str(), 0, &Length);
  std::string Key(Decoded, Length);
  std::free(Decoded);
  return Key;
}

} // namespace

PlatformServer::PlatformServer(Loop &TheLoop, const Address &Listen)
    : TheLoop(TheLoop) {
  auto Made =
      HttpServer::listen(TheLoop, Listen, {16 * 1024, 2 * 1024 * 1024},
                         [this](ExchangePtr Received) { accept(Received); });
  if (!Made) {
    std::fprintf(stderr, "platform stand-in: %s is in use\n",
                 Listen.text().c_str());
    std::exit(1);
  }
  Server = std::move(Made.value());
}

void PlatformServer::accept(const ExchangePtr &Received) {
  std::string_view Path = Received->request().path();
  if (Path == "/control") {
    control(Received);
    return;
  }
  if (Path == "/counts") {
    replyJson(Received, 200, Counts);
    return;
  }
  ++Counts[Path == "/watch" ? "watch" : Received->request().Method];
  if (Outage) {
    Received->abandon();
    return;
  }
  if (Delay == Duration::zero()) {
    serve(Received);
    return;
  }
  uint64_t Id = NextDelayed++;
  Delayed[Id] = TheLoop.after(Delay, [this, Id, Received] {
    TimerHandle Fired = std::move(Delayed[Id]);
    Delayed.erase(Id);
    serve(Received);
  });
}

void PlatformServer::serve(const ExchangePtr &Received) {
  const HttpRequest &Request = Received->request();
  if (Request.path() == "/watch") {
    watch(Received);
    return;
  }
  if (!Request.path().starts_with(ObjectsPath)) {
    replyError(Received, PlatformError::NotFound);
    return;
  }
  std::string Key = keyOf(Request);
  if (Request.Method != "GET") {
    write(Received, Key);
    return;
  }
  if (!Key.empty()) {
    Result<PlatformObject, PlatformError> Object = Store.read(Key);
    if (Object)
      replyJson(Received, 200, jsonOf(Object.value()));
    else
      replyError(Received, Object.error());
    return;
  }
  PlatformListing Listing = Store.list(Request.queryValue("prefix"));
  json Objects = json::array();
  for (const PlatformObject &Each : Listing.Objects)
    Objects.push_back(jsonOf(Each));
  replyJson(Received, 200,
            {{"revision", Listing.Revision}, {"objects", Objects}});
}

void PlatformServer::write(const ExchangePtr &Received,
                           const std::string &Key) {
  const HttpRequest &Request = Received->request();
  uint64_t IfVersion = numberIn(Request, "if_version");
  Result<uint64_t, PlatformError> Outcome =
      Request.Method == "PUT" ? Store.write(Key, Request.Body, IfVersion)
                              : Store.remove(Key, IfVersion);
  answerWrite(Received, Outcome);
  if (Outcome)
    wakeWatches();
}

void PlatformServer::answerWrite(const ExchangePtr &Received,
                                 Result<uint64_t, PlatformError> Outcome) {
  if (LoseAnswers > 0) {
    --LoseAnswers;
    Received->abandon();
    return;
  }
  if (Outcome)
    replyJson(Received, 200, {{"version", Outcome.value()}});
  else
    replyError(Received, Outcome.error());
}

void PlatformServer::watch(const ExchangePtr &Received) {
  const HttpRequest &Request = Received->request();
  Waiting Added = {Received, Request.queryValue("prefix"),
                   numberIn(Request, "after"), nullptr};
  if (answerWatch(Added, /*EvenIfEmpty=*/false))
    return;
  Watches.push_back(std::move(Added));
  auto Position = std::prev(Watches.end());
  Duration Wait = std::chrono::milliseconds(numberIn(Request, "wait_ms"));
  Position->Timeout = TheLoop.after(Wait, [this, Position] {
    Waiting Expired = std::move(*Position);
    Watches.erase(Position);
    answerWatch(Expired, /*EvenIfEmpty=*/true);
  });
  Received->onPeerGone([this, Position] { Watches.erase(Position); });
}

bool PlatformServer::answerWatch(const Waiting &Watch, bool EvenIfEmpty) {
  Result<WatchBatch, PlatformError> Batch =
      Store.changes(Watch.Prefix, Watch.After);
  if (!Batch) {
    replyError(Watch.Received, Batch.error());
    return true;
  }
  if (Batch.value().Changes.empty() && !EvenIfEmpty)
    return false;
  json Changes = json::array();
  for (const PlatformChange &Each : Batch.value().Changes) {
    json Node = jsonOf(Each.Object);
    Node["removed"] = Each.Removed;
    Changes.push_back(Node);
  }
  replyJson(Watch.Received, 200,
            {{"revision", Batch.value().Revision}, {"changes", Changes}});
  return true;
}

void PlatformServer::wakeWatches() {
  for (auto Each = Watches.begin(); Each != Watches.end();)
    Each = answerWatch(*Each, /*EvenIfEmpty=*/false) ? Watches.erase(Each)
                                                     : std::next(Each);
}

void PlatformServer::control(const ExchangePtr &Received) {
  json Node = json::parse(Received->request().Body, nullptr, false);
  if (!Node.is_object()) {
    replyJson(Received, 400, {{"error", "not a JSON object"}});
    return;
  }
  Outage = Node.value("outage", Outage);
  Delay =
      std::chrono::milliseconds(Node.value("delay_ms", milliseconds(Delay)));
  LoseAnswers = Node.value("lose_answers", LoseAnswers);
  if (Node.value("compact", false))
    Store.compact();
  if (Outage) {
    for (Waiting &Each : Watches)
      Each.Received->abandon();
    Watches.clear();
  }
  replyJson(Received, 200, {{"ok", true}});
}

} // namespace cyclamenwind::testing
