#include "cyclamenwind/platform/http_client.h"

#include "cyclamenwind/base/names.h"

#include <nlohmann/json.hpp>

namespace cyclamenwind {
namespace {

using nlohmann::json;

// A listing holds many objects of up to a megabyte each.
constexpr size_t MaxAnswerBytes = 64 * 1024 * 1024;

constexpr std::array<EnumName<PlatformError>, 9> ErrorNames = {{
    {PlatformError::NotFound, "not_found"},
    {PlatformError::Conflict, "conflict"},
    {PlatformError::TooLarge, "too_large"},
    {PlatformError::Overloaded, "overloaded"},
    {PlatformError::BudgetExhausted, "budget_exhausted"},
    {PlatformError::Unreachable, "unreachable"},
    {PlatformError::WatchGap, "watch_gap"},
    {PlatformError::NoAnswer, "no_answer"},
    {PlatformError::Malformed, "malformed"},
}};

PlatformError errorOfStatus(int Status) {
  switch (Status) {
  case 404:
    return PlatformError::NotFound;
  case 409:
    return PlatformError::Conflict;
  case 410:
    return PlatformError::WatchGap;
  case 413:
    return PlatformError::TooLarge;
  case 429:
    return PlatformError::Overloaded;
  default:
    return PlatformError::NoAnswer;
  }
}

PlatformObject objectOf(const json &Node) {
  return {Node.at("key").get<std::string>(), Node.at("version").get<uint64_t>(),
          Node.value("value", std::string())};
}

uint64_t versionOf(const json &Node) {
  return Node.at("version").get<uint64_t>();
}

PlatformListing listingOf(const json &Node) {
  PlatformListing Listing;
  Listing.Revision = Node.at("revision").get<uint64_t>();
  for (const json &Each : Node.at("objects"))
    Listing.Objects.push_back(objectOf(Each));
  return Listing;
}

WatchBatch batchOf(const json &Node) {
  WatchBatch Batch;
  Batch.Revision = Node.at("revision").get<uint64_t>();
  for (const json &Each : Node.at("changes"))
    Batch.Changes.push_back({objectOf(Each), Each.value("removed", false)});
  return Batch;
}

// Turns an answer's text into a T by Convert and passes it to Done.
template <typename T>
std::function<void(Result<std::string, PlatformError>)>
converting(T (*Convert)(const json &), PlatformDone<T> Done) {
  return [Convert, Done](Result<std::string, PlatformError> Answer) {
    if (!Answer) {
      Done(Answer.error());
      return;
    }
    std::optional<T> Value;
    try {
      Value = Convert(json::parse(Answer.value()));
    } catch (const json::exception &) {
      Done(PlatformError::Malformed);
      return;
    }
    Done(std::move(*Value));
  };
}

std::string escaped(const std::string &Text) {
  static const char Digits[] = "0123456789ABCDEF";
  std::string Result;
  for (unsigned char C : Text) {
    if (std::isalnum(C) || C == '-' || C == '_' || C == '.' || C == '/') {
      Result += static_cast<char>(C);
      continue;
    }
    Result += '%';
    Result += Digits[C >> 4];
    Result += Digits[C & 15];
  }
  return Result;
}

std::string conditionalTarget(const std::string &Key, uint64_t IfVersion) {
  return "/objects/" + escaped(Key) +
         "?if_version=" + std::to_string(IfVersion);
}

} // namespace

std::string_view nameOf(PlatformError Error) {
  return nameIn(ErrorNames, Error);
}

HttpPlatformClient::HttpPlatformClient(Loop &TheLoop, const Address &Platform,
                                       Duration Timeout)
    : Platform(Platform), Timeout(Timeout),
      Client(TheLoop, {MaxAnswerBytes, /*MaxIdle=*/4}) {}

void HttpPlatformClient::read(const std::string &Key,
                              PlatformDone<PlatformObject> Done) {
  send({"GET", "/objects/" + escaped(Key), {}, ""}, Timeout,
       converting(&objectOf, std::move(Done)));
}

void HttpPlatformClient::list(const std::string &Prefix,
                              PlatformDone<PlatformListing> Done) {
  send({"GET", "/objects?prefix=" + escaped(Prefix), {}, ""}, Timeout,
       converting(&listingOf, std::move(Done)));
}

void HttpPlatformClient::write(const std::string &Key, const std::string &Value,
                               uint64_t IfVersion,
                               PlatformDone<uint64_t> Done) {
  send({"PUT", conditionalTarget(Key, IfVersion), {}, Value}, Timeout,
       converting(&versionOf, std::move(Done)));
}

void HttpPlatformClient::remove(const std::string &Key, uint64_t IfVersion,
                                PlatformDone<uint64_t> Done) {
  send({"DELETE", conditionalTarget(Key, IfVersion), {}, ""}, Timeout,
       converting(&versionOf, std::move(Done)));
}

void HttpPlatformClient::watch(const std::string &Prefix, uint64_t Revision,
                               Duration Wait, PlatformDone<WatchBatch> Done) {
  std::string Target = "/watch?prefix=" + escaped(Prefix) +
                       "&after=" + std::to_string(Revision) +
                       "&wait_ms=" + std::to_string(milliseconds(Wait));
  send({"GET", Target, {}, ""}, Wait + Timeout,
       converting(&batchOf, std::move(Done)));
}

void HttpPlatformClient::send(HttpRequest Request, Duration CallTimeout,
                              std::function<void(Answer)> Done) {
  uint64_t Id = NextCall++;
  auto Finish = [this, Id, Done = std::move(Done)](
                    Result<HttpResponse, HttpClientError> Outcome) {
    std::unique_ptr<HttpCall> Finished = std::move(Calls[Id]);
    Calls.erase(Id);
    if (!Outcome) {
      Done(Outcome.error().Sent ? PlatformError::NoAnswer
                                : PlatformError::Unreachable);
      return;
    }
    if (Outcome.value().Status != 200) {
      Done(errorOfStatus(Outcome.value().Status));
      return;
    }
    Done(std::move(Outcome.value().Body));
  };
  Calls[Id] = Client.send(Platform, Request, CallTimeout, std::move(Finish));
}

} // namespace cyclamenwind
