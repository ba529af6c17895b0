// MeshWorld: outbound proxies, inbound proxies and local server registries of
// several daemons in virtual time, over the fake network, with simulated
// backend servers.

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

// How a simulated backend server handles requests.
struct Behaviour {
  Duration Work = 20ms;
  int Status = 200;
  bool Shed = false;
  bool Signed = true;
  bool LoseResponse = false;
  bool RefuseConnections = false;
  bool Healthy = true;
  std::string Body = {};      // Of successful responses; a short text if empty.
  std::string RateLimit = {}; // Named in all responses; none if empty.
  bool SaysLeaving = false;
  std::string WarmupMs = {}; // Named in health responses; none if empty.
};

// State of all simulated backend servers. Each daemon has one, on port 8000 of
// its host.
class FakeServers {
public:
  explicit FakeServers(VirtualTime &Time) : Time(Time) {}

  std::map<std::string, Behaviour> ByHost;
  std::map<std::string, int> Runs;                            // By attempt id.
  std::map<std::string, int> Arrivals;                        // By host.
  std::map<std::string, std::vector<TimePoint>> ArrivalTimes; // By host.
  std::map<std::string, int> Cancelled; // Cancelled runs, by host.
  std::vector<HttpRequest> ReceivedRequests;
  int HealthChecks = 0;
  std::map<std::string, int> HealthChecksByHost;

  VirtualTime &Time;
};

class FakeCall final : public HttpCall {
public:
  FakeCall(FakeServers &Servers, std::string Host)
      : Servers(Servers), Host(std::move(Host)) {}
  ~FakeCall() override {
    if (!Ended)
      ++Servers.Cancelled[Host];
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
    const Behaviour &Handling = Servers.ByHost[To.Host];
    auto Call = std::make_unique<FakeCall>(Servers, To.Host);
    FakeCall *Raw = Call.get();
    ++Servers.Arrivals[To.Host];
    Servers.ReceivedRequests.push_back(Request);
    HttpResponse Response{Handling.Status,
                          {},
                          Handling.Body.empty() ? "body of " + To.Host
                                                : Handling.Body};
    if (Request.Target == "/health") {
      ++Servers.HealthChecks;
      ++Servers.HealthChecksByHost[To.Host];
      Response.Status = Handling.Healthy ? 200 : 503;
      Response.Headers.push_back(
          {"Cyclamenwind-Instance-Id",
           "i-" + To.Host.substr(To.Host.rfind('.') + 1)});
      if (!Handling.WarmupMs.empty())
        Response.Headers.push_back(
            {"Cyclamenwind-Warmup-Ms", Handling.WarmupMs});
    } else if (Handling.Shed) {
      Response.Status = 503;
      Response.Headers.push_back({"Cyclamenwind-Not-Executed", "1"});
    } else if (!Handling.RefuseConnections) {
      ++Servers.Runs[*findHeader(Request.Headers, "Cyclamenwind-Attempt-Id")];
      if (Handling.Signed)
        Response.Headers.push_back({"Cyclamenwind-Response-Signature", "sig"});
    }
    if (!Handling.RateLimit.empty())
      Response.Headers.push_back({"Server-Limit", Handling.RateLimit});
    if (Handling.SaysLeaving)
      Response.Headers.push_back({"Server-Leaving", "1"});
    Servers.ArrivalTimes[To.Host].push_back(Servers.Time.now());
    Result<HttpResponse, HttpClientError> Outcome = Response;
    if (Handling.RefuseConnections)
      Outcome = HttpClientError{HttpClientErrorCode::ConnectFailed, false};
    else if (Handling.LoseResponse)
      Outcome = HttpClientError{HttpClientErrorCode::ConnectionLost, true};
    Duration Work =
        Handling.Shed || Handling.RefuseConnections ? 1ms : Handling.Work;
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
  std::string peerHost() const override { return PeerHost; }
  HttpRequest takeRequest() override { return Request; }
  void reply(const HttpResponse &Response) override { Answer = Response; }
  void abandon() override {}
  void onPeerGone(std::function<void()> Action) override { Gone = Action; }

  HttpRequest Request;
  std::string PeerHost;
  std::optional<HttpResponse> Answer;
  std::function<void()> Gone;
};

class FakePublisher final : public Service, public EndpointPublisher {
public:
  FakePublisher(bool &Answers, std::map<std::string, std::string> &Published)
      : Answers(Answers), Published(Published) {}
  std::string_view name() const override { return "store_sync"; }
  void start(Kernel &) override {}
  void publish(const MeshEndpoint &Record,
               std::function<void(bool)> OnDone) override {
    std::string Text = formatEndpoint(Record);
    if (!Answers) {
      Unwritten += Record.leaves() ? 1 : 0;
      return;
    }
    Published[Record.Id] = Text;
    OnDone(true);
  }
  void withdraw(const std::string &Id) override { Published.erase(Id); }
  size_t unwrittenDepartures() const override { return Unwritten; }
  size_t Unwritten = 0;
  bool &Answers;
  std::map<std::string, std::string> &Published;
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
  explicit MeshWorld(int Count, MeshConfig InitialConfig = meshConfig(),
                     const InboundProxyOptions &Options = {})
      : Rng(11), Network(Time, Time, Rng), Servers(Time),
        Config(std::move(InitialConfig)), Options(Options) {
    // See FakeNetwork.
    Network.LinkBytesPerSecond = Options.LinkBytesPerSecond;
    for (int I = 0; I < Count; ++I)
      add("10.0.0." + std::to_string(I + 1));
    Time.advance(50ms);
  }

  struct Daemon {
    std::unique_ptr<Random> Rng;
    std::unique_ptr<Kernel> Services;
    OutboundProxy *Outbound;
    InboundProxy *Inbound;
    LocalServerRegistry *Registry;
    MeshState *State;
    FakePeers *Peers;
  };

  void add(const std::string &Host) {
    start(Daemons.emplace_back(), Host);
    if (Reporting)
      report(Daemons.size() - 1, 1);
  }

  // Stops a daemon as MeshDaemon does, from now until its end after Limit; its
  // process then ends. Advances the time.
  void stopGracefully(size_t Index, Duration Limit) {
    Daemon &Stopping = Daemons[Index];
    TimePoint End = Time.now() + Limit;
    Stopping.Inbound->answerBy(End);
    Stopping.Outbound->answerBy(End);
    Time.advance(Limit);
    Stopping.Inbound->endAll();
    Stopping.Outbound->answerAll();
    Time.advance(20ms);
    kill(Index);
  }

  // Ends the process of a daemon at once.
  void kill(size_t Index) {
    Daemons[Index].Services->stop();
    Daemons[Index].Services.reset();
  }

  // Starts a process of a daemon that was killed.
  void restart(size_t Index) {
    FirstStart = false;
    start(Daemons[Index], "10.0.0." + std::to_string(Index + 1));
  }

  void start(Daemon &NewDaemon, const std::string &Host) {
    NewDaemon.Rng = std::make_unique<Random>(Daemons.size());
    NewDaemon.Services = std::make_unique<Kernel>(Time, Time, *NewDaemon.Rng);
    auto AddService = [&NewDaemon](auto Owned) {
      auto *Raw = Owned.get();
      NewDaemon.Services->add(std::move(Owned));
      return Raw;
    };
    NewDaemon.Peers =
        AddService(std::make_unique<FakePeers>(Network, Address{Host, 7000}));
    AddService(std::make_unique<Metrics>());
    NewDaemon.State = AddService(std::make_unique<MeshState>());
    NewDaemon.Inbound = AddService(std::make_unique<InboundProxy>(
        std::make_unique<FakeSender>(Servers), Codec, Options));
    NewDaemon.Outbound = AddService(std::make_unique<OutboundProxy>(
        OutboundProxyOptions{"a", "quote", {0.2, 56, 10s}}, Codec));
    AddService(std::make_unique<FakePublisher>(StoreAnswers, Published));
    NewDaemon.Registry = AddService(std::make_unique<LocalServerRegistry>(
        LocalServerRegistryOptions{{Host, 7000}, 1500ms, FirstStart}));
    NewDaemon.Services->start();
    for (const MeshEndpoint &Endpoint : StoredRecords)
      NewDaemon.State->merge(Endpoint);
    if (EndpointsListed)
      NewDaemon.State->setEndpointsListed();
    if (ConfigKnown)
      NewDaemon.State->apply(Config, "");
    NewDaemon.Peers->handle(
        FrameType::EndpointAnnounce,
        [State = NewDaemon.State](const Address &From,
                                  std::string_view Payload) {
          auto Message = decodeMessage<wire::EndpointAnnounce>(Payload);
          for (const wire::EndpointRecord &Encoded :
               Message.value().endpoints) {
            std::optional<MeshEndpoint> Record = fromWire(Encoded);
            if (!Record)
              continue;
            if (Record->DaemonAddress != From) {
              State->merge(*Record);
              continue;
            }
            State->mergeFromOwner(*Record);
            if (std::optional<ServerWarmup> Stated =
                    warmupOf(Encoded.coldForUs, Encoded.coldRate))
              State->reportWarmup(Record->Id, *Stated);
          }
        });
    if (!PeersTell)
      return;
    // The new daemon receives the records of all servers that exist already.
    for (Daemon &Other : Daemons)
      if (Other.Services && &Other != &NewDaemon)
        for (const MeshEndpoint *Endpoint : Other.State->directory().merged())
          NewDaemon.State->merge(*Endpoint);
  }

  ServerReport reportOf(size_t Index, int64_t Sequence, bool Draining = false) {
    std::string Host = "10.0.0." + std::to_string(Index + 1);
    return {"i-" + std::to_string(Index + 1),
            "quote",
            {Host, 8000},
            Index < Domains.size() ? Domains[Index] : "a",
            "v1",
            2,
            Draining,
            Sequence,
            1000};
  }

  // Returns whether the report was acknowledged synchronously.
  bool report(size_t Index, int64_t Sequence, bool Draining = false) {
    auto Acked = std::make_shared<bool>(false);
    Daemons[Index].Registry->report(reportOf(Index, Sequence, Draining),
                                    [Acked] { *Acked = true; });
    return *Acked;
  }

  std::shared_ptr<FakeExchange> request(const std::string &Path,
                                        size_t From = 0,
                                        const std::string &Body = "") {
    std::string Id = "attempt-" + std::to_string(++Sent);
    auto Received = std::make_shared<FakeExchange>(
        HttpRequest{"GET",
                    Path,
                    {{"Host", "shop.example"},
                     {"Cyclamenwind-Attempt-Id", Id},
                     {"Cyclamenwind-Deadline-Ms", "1500"},
                     {"Cyclamenwind-Caller-Service", "forged"}},
                    Body});
    Daemons[From].Outbound->accept(Received);
    return Received;
  }

  // Largest number of runs of one attempt id.
  int maxRuns() const {
    int Max = 0;
    for (const auto &[Id, Count] : Servers.Runs)
      Max = std::max(Max, Count);
    return Max;
  }

  VirtualTime Time;
  Random Rng;
  FakeNetwork Network;
  FakeServers Servers;
  platform::PlatformHeaderCodec Codec;
  MeshConfig Config; // Of the daemons that start.
  InboundProxyOptions Options;
  std::vector<std::string> Domains; // Of the servers; "a" if it has no entry.
  bool StoreAnswers = true;
  // Texts of the records that daemons have stored on the platform, by server.
  std::map<std::string, std::string> Published;
  // Records on the platform when a daemon starts.
  std::vector<MeshEndpoint> StoredRecords;
  bool FirstStart = true;      // Of the daemons that are added.
  bool Reporting = true;       // Servers report when their daemon starts.
  bool EndpointsListed = true; // Daemons have listed the platform's records.
  bool ConfigKnown = true;     // Daemons have the configuration at their start.
  bool PeersTell = true;       // Daemons that start get the records of others.
  std::deque<Daemon> Daemons;
  int Sent = 0;
};

} // namespace cyclamenwind::testing

#endif
