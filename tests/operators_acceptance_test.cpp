#include "cyclamenwind/config/acceptance.h"
#include "cyclamenwind/config/keys.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

// What one author was told.
struct Told {
  bool Answered = false;
  std::optional<uint64_t> Version;
  std::optional<AcceptanceErrorCode> Error;
};

struct Authors {
  VirtualTime Time;
  Random Rng;
  FakePlatform Shared;
  std::vector<std::unique_ptr<Kernel>> Kernels;
  std::vector<FakePlatformClient *> Clients;
  // The operation of each version that was ever in place, by the traces of the
  // platform alone.
  std::map<uint64_t, std::string> InPlace;
  uint64_t LastRevision = 0;

  Authors(uint64_t Seed, int Count) : Rng(Seed), Shared(Time, Rng) {
    for (int I = 0; I < Count; ++I) {
      auto Client = std::make_unique<FakePlatformClient>(Shared);
      Clients.push_back(Client.get());
      Kernels.push_back(std::make_unique<Kernel>(Time, Time, Rng));
      Kernels.back()->add(std::move(Client));
      Kernels.back()->add(std::make_unique<Acceptance>());
      Kernels.back()->start();
    }
  }

  void accept(size_t Author, const std::string &OperationId, Told &Answer,
              std::optional<uint64_t> Base = std::nullopt) {
    AcceptanceRequest Request;
    Request.Body.Services = {{"quote", OperationId}};
    Request.Author = "author-" + std::to_string(Author);
    Request.OperationId = OperationId;
    Request.Base = Base;
    Kernels[Author]
        ->find<Acceptance>("acceptance")
        .accept(Request, [&Answer](Result<uint64_t, AcceptanceError> Outcome) {
          REQUIRE_FALSE(Answer.Answered);
          Answer.Answered = true;
          if (Outcome)
            Answer.Version = Outcome.value();
          else
            Answer.Error = Outcome.error().Code;
        });
  }

  std::optional<Envelope> present() const {
    Result<PlatformObject, PlatformError> Read = Shared.Store.read(DocumentKey);
    if (!Read)
      return std::nullopt;
    return parseEnvelope(Read.value().Value).value();
  }

  // Advances in small steps and notes what is in place at each.
  void advance(Duration Span) {
    for (Duration Gone{}; Gone < Span; Gone += 100us) {
      Time.advance(100us);
      if (Shared.Store.revision() == LastRevision)
        continue;
      LastRevision = Shared.Store.revision();
      if (std::optional<Envelope> Seen = present()) {
        auto [Place, New] = InPlace.insert({Seen->Version, Seen->OperationId});
        CHECK(Place->second == Seen->OperationId);
      }
    }
  }

  // Whether what an author was told is what happened.
  void check(const std::string &OperationId, const Told &Answer) const {
    REQUIRE(Answer.Answered);
    int Times = 0;
    uint64_t As = 0;
    for (const auto &[Version, Operation] : InPlace)
      if (Operation == OperationId) {
        ++Times;
        As = Version;
      }
    CHECK(Times <= 1);
    if (Answer.Version) {
      CHECK(Times == 1);
      CHECK(*Answer.Version == As);
    } else if (*Answer.Error != AcceptanceErrorCode::Unknown) {
      CHECK(Times == 0);
    }
  }
};

} // namespace

TEST_CASE("a document that was replaced before its answer came is accepted") {
  Authors Fleet(1, 2);
  Told First;
  Fleet.Shared.LoseAnswers = 1;
  Fleet.accept(0, "first", First);
  Fleet.advance(10ms); // Written; the answer is lost.
  Fleet.Clients[0]->CutOff = true;
  Told Second;
  Fleet.accept(1, "second", Second);
  Fleet.advance(100ms);
  Fleet.Clients[0]->CutOff = false;
  Fleet.advance(20s);
  CHECK(First.Version == 1u);
  CHECK(Second.Version == 2u);
  Told Repeated;
  Fleet.accept(1, "first", Repeated);
  Fleet.advance(1s);
  CHECK(Repeated.Version == 1u);
  CHECK(Fleet.present()->Version == 2);
}

TEST_CASE("authors that race are told what happened, with answers lost") {
  for (uint64_t Seed = 1; Seed <= 30; ++Seed) {
    CAPTURE(Seed);
    Authors Fleet(Seed, 3);
    Fleet.Shared.Spread = 5;
    constexpr size_t Rounds = 8;
    std::vector<std::array<Told, 3>> Answers(Rounds);
    for (size_t Round = 0; Round < Rounds; ++Round) {
      Fleet.Shared.LoseAnswers = static_cast<int>(Fleet.Rng.below(3));
      for (size_t Author = 0; Author < 3; ++Author) {
        std::string Id =
            "op-" + std::to_string(Round) + "-" + std::to_string(Author);
        std::optional<uint64_t> Base;
        if (Fleet.Rng.below(2) == 0)
          Base = Fleet.present() ? Fleet.present()->Version : 0;
        Fleet.accept(Author, Id, Answers[Round][Author], Base);
        if (Fleet.Rng.below(2) == 0)
          Fleet.advance(5ms);
      }
      Fleet.Clients[Fleet.Rng.below(3)]->CutOff = Fleet.Rng.below(3) == 0;
      Fleet.advance(50ms);
      for (FakePlatformClient *Client : Fleet.Clients)
        Client->CutOff = false;
    }
    Fleet.advance(20s);
    for (size_t Round = 0; Round < Rounds; ++Round)
      for (size_t Author = 0; Author < 3; ++Author)
        Fleet.check("op-" + std::to_string(Round) + "-" +
                        std::to_string(Author),
                    Answers[Round][Author]);
  }
}

TEST_CASE("an envelope remembers a bounded number of operations") {
  Envelope Value;
  Value.Version = 1;
  Value.OperationId = "op-1";
  for (uint64_t Version = 2; Version <= 30; ++Version) {
    Value.Past = Value.pastOfNext();
    Value.Version = Version;
    Value.OperationId = "op-" + std::to_string(Version);
  }
  CHECK(Value.Past.size() == MaxPastOperations);
  Envelope Again = parseEnvelope(formatEnvelope(Value)).value();
  CHECK(Again.Past == Value.Past);
  CHECK(Again.versionOf("op-30") == 30u);
  CHECK(Again.versionOf("op-22") == 22u);
  CHECK_FALSE(Again.versionOf("op-21"));
}
