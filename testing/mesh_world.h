// MeshWorld: forwarder, gate and registry of several daemons in virtual time,
// over the fake network, with backend servers that are functions.

#ifndef CYCLAMENWIND_TESTING_MESH_WORLD_H
#define CYCLAMENWIND_TESTING_MESH_WORLD_H

#include "cyclamenwind/mesh/local_server_registry.h"
#include "cyclamenwind/mesh/outbound_proxy.h"
#include "platform/wire.h"
#include "testing/fake_peers.h"
#include "testing/virtual_time.h"

#include <deque>

namespace cyclamenwind::testing {

using namespace cyclamenwind::literals;

// What a server does with a request.
struct Behaviour {
  Duration Work = 20ms;
  int Status = 200;
  bool Shed = false;
  bool Signed = true;
  bool LoseAnswer = false;
  bool RefuseConnections = false;
  bool Healthy = true;
};

// Plays all backend servers; each daemon has one, at its host's port 8000.
class FakeServers {
public:
  explicit FakeServers(VirtualTime &Time) : Time(Time) {}

  std::map<std::string, Behaviour> ByHost;
  std::map<std::string, int> Runs;     // By attempt id.
  std::map<std::string, int> Arrivals; // By host.
  std::map<std::string, int> Cut;      // Runs that were broken off, by host.
  std::vector<HttpRequest> Seen;
  int HealthChecks = 0;

  VirtualTime &Time;
};

class FakeCall final : public HttpCall {
public:
  FakeCall(FakeServers &Servers, std::string Host)
      : Servers(Servers), Host(std::move(Host)) {}
  ~FakeCall() override {
    if (!Ended)
      ++Servers.Cut[Host];
  }
  bool sent() const override { return true; }

  FakeServers &Servers;
  std::string Host;
  TimerHandle Timer;
  bool Ended = false;
};

class FakeSender final : public HttpSender {
public:
  explicit FakeSender(FakeServers &Servers) : Servers(Servers) {}

  std::unique_ptr<HttpCall> send(const Address &To, const HttpRequest &Request,
                                 Duration Timeout,
                                 HttpCallback OnDone) override {
    const Behaviour &Acts = Servers.ByHost[To.Host];
    auto Call = std::make_unique<FakeCall>(Servers, To.Host);
    FakeCall *Raw = Call.get();
    ++Servers.Arrivals[To.Host];
    Servers.Seen.push_back(Request);
    HttpResponse Response{Acts.Status, {}, "body of " + To.Host};
    if (Request.Target == "/health") {
      ++Servers.HealthChecks;
      Response.Status = Acts.Healthy ? 200 : 503;
      Response.Headers.push_back(
          {"Cyclamenwind-Instance-Id",
           "i-" + To.Host.substr(To.Host.rfind('.') + 1)});
    } else if (Acts.Shed) {
      Response.Status = 503;
      Response.Headers.push_back({"Cyclamenwind-Not-Executed", "1"});
    } else if (!Acts.RefuseConnections) {
      ++Servers.Runs[*findHeader(Request.Headers, "Cyclamenwind-Attempt-Id")];
      if (Acts.Signed)
        Response.Headers.push_back({"Cyclamenwind-Response-Signature", "sig"});
    }
    Result<HttpResponse, HttpClientError> Outcome = Response;
    if (Acts.RefuseConnections)
      Outcome = HttpClientError{HttpClientErrorCode::ConnectFailed, false};
    else if (Acts.LoseAnswer)
      Outcome = HttpClientError{HttpClientErrorCode::ConnectionLost, true};
    Duration Work = Acts.Shed || Acts.RefuseConnections ? 1ms : Acts.Work;
    if (Work > Timeout) {
      Work = Timeout;
      Outcome = HttpClientError{HttpClientErrorCode::TimedOut, true};
    }
    Raw->Timer = Servers.Time.after(Work, [Raw, Outcome, OnDone] {
      Raw->Ended = true;
      OnDone(Outcome);
    });
    return Call;
  }

  FakeServers &Servers;
};

class FakeExchange final : public Exchange {
public:
  explicit FakeExchange(HttpRequest Request) : Request(std::move(Request)) {}
  const HttpRequest &request() const override { return Request; }
  HttpRequest takeRequest() override { return Request; }
  void reply(const HttpResponse &Response) override { Answer = Response; }
  void abandon() override {}
  void onPeerGone(std::function<void()> Action) override { Gone = Action; }

  HttpRequest Request;
  std::optional<HttpResponse> Answer;
  std::function<void()> Gone;
};

class FakePublisher final : public Service, public EndpointPublisher {
public:
  explicit FakePublisher(bool &Answers) : Answers(Answers) {}
  std::string_view name() const override { return "store_sync"; }
  void start(Kernel &) override {}
  void publish(const MeshEndpoint &,
               std::function<void(bool)> OnDone) override {
    if (Answers)
      OnDone(true);
  }
  bool &Answers;
};

inline MeshConfig meshConfig(uint64_t Revision = 1) {
  MeshConfig Value;
  Value.Revision = Revision;
  MeshRoute Read{"read", "shop.example", "/read/", true, 1s, 400ms, 2, 1, {}};
  Read.Targets.push_back({"quote", 1});
  MeshRoute Submit = Read;
  Submit.Name = "submit";
  Submit.PathPrefix = "/submit/";
  Submit.Idempotent = false;
  Value.Routes = {Read, Submit};
  Value.Services = {{"quote", "/health"}};
  return Value;
}

class MeshWorld {
public:
  explicit MeshWorld(int Count)
      : Rng(11), Network(Time, Time, Rng), Servers(Time) {
    for (int I = 0; I < Count; ++I)
      add("10.0.0." + std::to_string(I + 1));
    Time.advance(50ms);
  }

  struct Daemon {
    std::unique_ptr<Random> Rng;
    std::unique_ptr<Kernel> Services;
    OutboundProxy *Forward;
    InboundProxy *Inbound;
    LocalServerRegistry *Reports;
    MeshState *State;
    FakePeers *Peers;
  };

  void add(const std::string &Host) {
    Daemon &Added = Daemons.emplace_back();
    Added.Rng = std::make_unique<Random>(Daemons.size());
    Added.Services = std::make_unique<Kernel>(Time, Time, *Added.Rng);
    auto Keep = [&Added](auto Owned) {
      auto *Raw = Owned.get();
      Added.Services->add(std::move(Owned));
      return Raw;
    };
    Added.Peers =
        Keep(std::make_unique<FakePeers>(Network, Address{Host, 7000}));
    Keep(std::make_unique<Metrics>());
    Added.State = Keep(std::make_unique<MeshState>());
    Added.Inbound = Keep(std::make_unique<InboundProxy>(
        std::make_unique<FakeSender>(Servers), Format));
    Added.Forward = Keep(std::make_unique<OutboundProxy>(
        OutboundProxyOptions{"a", "quote", {0.2, 56, 10s}}, Format));
    Keep(std::make_unique<FakePublisher>(StoreAnswers));
    Added.Reports = Keep(std::make_unique<LocalServerRegistry>(
        RegistryOptions{{Host, 7000}, 1500ms}));
    Added.Services->start();
    for (const MeshEndpoint &Each : Recorded)
      Added.State->merge(Each);
    if (Listed)
      Added.State->setListed();
    Added.State->apply(meshConfig(), "");
    Added.Peers->handle(
        FrameType::EndpointAnnounce,
        [State = Added.State](const Address &From, std::string_view Payload) {
          auto Message = decodeMessage<wire::EndpointAnnounce>(Payload);
          for (const wire::EndpointRecord &Each : Message.value().endpoints) {
            MeshEndpoint Record = *endpointOf(Each);
            if (Record.DaemonAddress == From)
              State->mergeFromOwner(Record);
            else
              State->merge(Record);
          }
        });
    // Each daemon learns of the servers that were there before it.
    for (Daemon &Other : Daemons)
      for (const auto &[Id, Each] : Other.State->directory().all())
        Added.State->merge(Each);
    if (Reporting)
      report(Daemons.size() - 1, 1);
  }

  ServerReport reportOf(size_t Index, int64_t Sequence, bool Draining = false) {
    std::string Host = "10.0.0." + std::to_string(Index + 1);
    return {"i-" + std::to_string(Index + 1),
            "quote",
            {Host, 8000},
            "a",
            "v1",
            2,
            Draining,
            Sequence,
            1000};
  }

  // Whether the report was acknowledged at once.
  bool report(size_t Index, int64_t Sequence, bool Draining = false) {
    auto Acked = std::make_shared<bool>(false);
    Daemons[Index].Reports->report(reportOf(Index, Sequence, Draining),
                                   [Acked] { *Acked = true; });
    return *Acked;
  }

  std::shared_ptr<FakeExchange> request(const std::string &Path,
                                        size_t From = 0) {
    std::string Id = "attempt-" + std::to_string(++Sent);
    auto Received = std::make_shared<FakeExchange>(
        HttpRequest{"GET",
                    Path,
                    {{"Host", "shop.example"},
                     {"Cyclamenwind-Attempt-Id", Id},
                     {"Cyclamenwind-Deadline-Ms", "1500"},
                     {"Cyclamenwind-Caller-Service", "forged"}},
                    ""});
    Daemons[From].Forward->accept(Received);
    return Received;
  }

  int mostRuns() const {
    int Most = 0;
    for (const auto &[Id, Count] : Servers.Runs)
      Most = std::max(Most, Count);
    return Most;
  }

  VirtualTime Time;
  Random Rng;
  FakeNetwork Network;
  FakeServers Servers;
  platform::Headers Format;
  bool StoreAnswers = true;
  std::vector<MeshEndpoint> Recorded; // On the platform, when a daemon starts.
  bool Reporting = true; // A server reports when its daemon starts.
  bool Listed = true;    // Daemons have read the platform's records.
  std::deque<Daemon> Daemons;
  int Sent = 0;
};

} // namespace cyclamenwind::testing

#endif
