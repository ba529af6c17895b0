// HttpPlatformClient: the platform's object API over HTTP.
//
//   GET    /objects/KEY                       one object
//   GET    /objects?prefix=P                  a listing
//   PUT    /objects/KEY?if_version=N          conditional write, value as body
//   DELETE /objects/KEY?if_version=N          conditional removal
//   GET    /watch?prefix=P&after=R&wait_ms=W  long poll
//
// Answers are JSON; 404, 409, 410, 413 and 429 carry the errors of client.h.

#ifndef CYCLAMENWIND_PLATFORM_HTTP_CLIENT_H
#define CYCLAMENWIND_PLATFORM_HTTP_CLIENT_H

#include "cyclamenwind/http/client.h"
#include "cyclamenwind/platform/client.h"

#include <map>

namespace cyclamenwind {

class HttpPlatformClient final : public PlatformClient {
public:
  HttpPlatformClient(Loop &TheLoop, const Address &Platform, Duration Timeout);

  void read(const std::string &Key, PlatformDone<PlatformObject> Done) override;
  void list(const std::string &Prefix,
            PlatformDone<PlatformListing> Done) override;
  void write(const std::string &Key, const std::string &Value,
             uint64_t IfVersion, PlatformDone<uint64_t> Done) override;
  void remove(const std::string &Key, uint64_t IfVersion,
              PlatformDone<uint64_t> Done) override;
  void watch(const std::string &Prefix, uint64_t Revision, Duration Wait,
             PlatformDone<WatchBatch> Done) override;

private:
  using Answer = Result<std::string, PlatformError>;

  void send(HttpRequest Request, Duration Timeout,
            std::function<void(Answer)> Done);

  Address Platform;
  Duration Timeout;
  HttpClient Client;
  uint64_t NextCall = 1;
  std::map<uint64_t, std::unique_ptr<HttpCall>> Calls;
};

} // namespace cyclamenwind

#endif
