#include "testing/platform_server.h"

#include "platform/names.h"

#include <cstdio>
#include <cstdlib>

#include <nlohmann/json.hpp>

#include <event2/http.h>

namespace cyclamenwind::testing {
namespace {

using nlohmann::json;
namespace names = platform::names;

// Maximum number of objects in one page of a listing.
constexpr size_t MaxPageItems = 50;

int httpStatusOf(PlatformError Error) {
  switch (Error) {
  case PlatformError::NotFound:
    return 404;
  case PlatformError::Conflict:
    return 409;
  case PlatformError::WatchGap:
    return 410;
  case PlatformError::TooLarge:
    return 413;
  case PlatformError::Malformed:
    return 400;
  default:
    return 500;
  }
}

// The JSON form of an object in the store's responses.
json jsonOf(const PlatformObject &Object) {
  std::string Name = Object.Key.substr(Object.Key.find('/') + 1);
  json Node = {{names::Metadata,
                {{names::ObjectName, Name}, {names::Revision, Object.Version}}},
               {names::Spec, json::parse(Object.Value, nullptr, false)},
               {names::Status, nullptr}};
  if (!Object.Status.empty())
    Node[names::Status] = json::parse(Object.Status);
  if (Node[names::Spec].is_discarded())
    Node[names::Spec] = nullptr;
  return Node;
}

uint64_t parseNumber(const HttpRequest &Request, const char *Name) {
  return std::strtoull(Request.queryValue(Name).c_str(), nullptr, 10);
}

std::string uriDecoded(const std::string &Encoded) {
  size_t Length = 0;
  char *Text = evhttp_uridecode(Encoded.c_str(), 0, &Length);
  std::string Result(Text, Length);
  std::free(Text);
  return Result;
}

// A parsed path: "KIND", "KIND/NAME" or "KIND/NAME/status".
struct ObjectPath {
  std::string Kind;
  std::string Name;
  bool IsStatus = false;

  std::string key() const { return Kind + "/" + Name; }
};

ObjectPath objectPath(const HttpRequest &Request) {
  constexpr std::string_view Root = names::ObjectsPath;
  std::string Rest(Request.path().substr(Root.size()));
  ObjectPath Result;
  Result.IsStatus = Rest.ends_with(std::string("/") + names::Status);
  if (Result.IsStatus)
    Rest.resize(Rest.rfind('/'));
  size_t Slash = Rest.find('/', 1);
  Result.Kind = uriDecoded(Rest.substr(1, Slash - 1));
  if (Slash != std::string::npos)
    Result.Name = uriDecoded(Rest.substr(Slash + 1));
  return Result;
}

} // namespace

PlatformServer::PlatformServer(Loop &TheLoop, const Address &Listen)
    : TheLoop(TheLoop) {
  auto NewServer =
      HttpServer::listen(TheLoop, Listen, {16 * 1024, 2 * 1024 * 1024},
                         [this](ExchangePtr Received) { accept(Received); });
  if (!NewServer) {
    std::fprintf(stderr, "platform stand-in: cannot listen on %s\n",
                 Listen.text().c_str());
    std::exit(1);
  }
  Server = std::move(NewServer.value());
}

void PlatformServer::replyJson(const ExchangePtr &Received, int Status,
                               const json &Body) const {
  HttpHeaders Headers;
  if (!EraText.empty())
    Headers.push_back({names::StoreEra, EraText});
  else if (Store.restoreEpoch() != 0)
    Headers.push_back({names::StoreEra, std::to_string(Store.restoreEpoch())});
  Received->reply({Status, Headers, Body.dump()});
}

void PlatformServer::replyError(const ExchangePtr &Received,
                                PlatformError Error) const {
  replyJson(Received, httpStatusOf(Error), {{"error", nameOf(Error)}});
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
  bool IsWatch = !Received->request().queryValue(names::WatchRevision).empty();
  ++Counts[IsWatch ? "watch" : Received->request().Method];
  if (Outage) {
    Received->abandon();
    return;
  }
  if (Delay == Duration::zero()) {
    serve(Received);
    return;
  }
  uint64_t Id = NextDelayId++;
  DelayTimers[Id] = TheLoop.after(Delay, [this, Id, Received] {
    TimerHandle FiredTimer = std::move(DelayTimers[Id]);
    DelayTimers.erase(Id);
    serve(Received);
  });
}

void PlatformServer::serve(const ExchangePtr &Received) {
  const HttpRequest &Request = Received->request();
  if (!Request.path().starts_with(names::ObjectsPath)) {
    replyError(Received, PlatformError::NotFound);
    return;
  }
  ObjectPath Path = objectPath(Request);
  if (Request.Method != "GET") {
    write(Received);
    return;
  }
  if (!Request.queryValue(names::WatchRevision).empty()) {
    watch(Received);
    return;
  }
  if (!Path.Name.empty()) {
    Result<PlatformObject, PlatformError> Object = Store.read(Path.key());
    if (Object)
      replyJson(Received, 200, jsonOf(Object.value()));
    else
      replyError(Received, Object.error());
    return;
  }
  list(Received, Path.Kind + "/", Request.queryValue(names::AfterName));
}

void PlatformServer::list(const ExchangePtr &Received,
                          const std::string &Prefix, const std::string &After) {
  PlatformListing Listing = Store.list(Prefix);
  json Items = json::array();
  bool HasMore = false;
  for (const PlatformObject &Object : Listing.Objects) {
    if (!After.empty() && Object.Key <= Prefix + After)
      continue;
    HasMore = Items.size() == MaxPageItems;
    if (HasMore)
      break;
    Items.push_back(jsonOf(Object));
  }
  replyJson(Received, 200,
            {{names::StoreRevision, Listing.Revision},
             {names::HasMore, HasMore},
             {names::Items, Items}});
}

void PlatformServer::write(const ExchangePtr &Received) {
  const HttpRequest &Request = Received->request();
  ObjectPath Path = objectPath(Request);
  json Body = json::parse(Request.Body, nullptr, false);
  Result<uint64_t, PlatformError> Outcome = PlatformError::Malformed;
  if (Request.Method == "DELETE") {
    Outcome = Store.remove(Path.key(), parseNumber(Request, names::Revision));
  } else if (Body.is_object() && Body.contains(names::Metadata)) {
    const json &Meta = Body[names::Metadata];
    if (Request.Method == "POST")
      Path.Name = Meta.value(names::ObjectName, "");
    uint64_t IfVersion = Meta.value(names::Revision, uint64_t(0));
    Outcome =
        Path.IsStatus
            ? Store.writeStatus(Path.key(), Body[names::Status].dump(),
                                IfVersion)
            : Store.write(Path.key(), Body[names::Spec].dump(), IfVersion);
  }
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
    replyJson(Received, 200,
              {{names::Metadata, {{names::Revision, Outcome.value()}}}});
  else
    replyError(Received, Outcome.error());
}

void PlatformServer::watch(const ExchangePtr &Received) {
  const HttpRequest &Request = Received->request();
  PendingWatch Added = {Received, objectPath(Request).Kind + "/",
                        parseNumber(Request, names::WatchRevision), nullptr};
  if (answerWatch(Added, /*ReplyIfEmpty=*/false))
    return;
  Watches.push_back(std::move(Added));
  auto Position = std::prev(Watches.end());
  Duration Wait =
      std::chrono::milliseconds(parseNumber(Request, names::WaitMs));
  Position->Timeout = TheLoop.after(Wait, [this, Position] {
    PendingWatch Expired = std::move(*Position);
    Watches.erase(Position);
    answerWatch(Expired, /*ReplyIfEmpty=*/true);
  });
  Received->onPeerGone([this, Position] { Watches.erase(Position); });
}

bool PlatformServer::answerWatch(const PendingWatch &Watch, bool ReplyIfEmpty) {
  Result<WatchBatch, PlatformError> Batch =
      Store.changes(Watch.Prefix, Watch.After);
  if (!Batch) {
    replyError(Watch.Received, Batch.error());
    return true;
  }
  if (Batch.value().Changes.empty() && !ReplyIfEmpty)
    return false;
  json Changes = json::array();
  for (const PlatformChange &Change : Batch.value().Changes)
    Changes.push_back({{names::Object, jsonOf(Change.Object)},
                       {names::Deleted, Change.Removed}});
  replyJson(Watch.Received, 200,
            {{names::StoreRevision, Batch.value().Revision},
             {names::Events, Changes}});
  return true;
}

void PlatformServer::wakeWatches() {
  for (auto Position = Watches.begin(); Position != Watches.end();)
    Position = answerWatch(*Position, /*ReplyIfEmpty=*/false)
                   ? Watches.erase(Position)
                   : std::next(Position);
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
  EraText = Node.value("era", EraText);
  if (Node.value("copy", false))
    Copy = Store;
  bool Restore = Copy && Node.value("restore", false);
  if (Restore)
    Store.restore(*Copy);
  if (Outage || Restore) {
    for (PendingWatch &Pending : Watches)
      Pending.Received->abandon();
    Watches.clear();
  }
  replyJson(Received, 200, {{"ok", true}});
}

} // namespace cyclamenwind::testing
