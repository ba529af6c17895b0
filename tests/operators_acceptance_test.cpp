#include "cyclamenwind/config/acceptance.h"
#include "cyclamenwind/config/keys.h"
#include "testing/fake_platform.h"
#include "testing/virtual_time.h"

#include <catch2/catch.hpp>

using namespace cyclamenwind;
using namespace cyclamenwind::testing;

namespace {

// The answer to one author's request.
struct AuthorAnswer {
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
  // The operation id of each version that the platform ever stored, read from
  // the store and not from the answers.
  std::map<uint64_t, std::string> StoredOperations;
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

  void accept(size_t Author, const std::string &OperationId,
              AuthorAnswer &Answer,
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

  std::optional<Envelope> storedEnvelope() const {
    Result<PlatformObject, PlatformError> Read = Shared.Store.read(DocumentKey);
    if (!Read)
      return std::nullopt;
    return parseEnvelope(Read.value().Value).value();
  }

  // Advances in steps of 100 us and records the stored version after each.
  void advance(Duration Span) {
    for (Duration Elapsed{}; Elapsed < Span; Elapsed += 100us) {
      Time.advance(100us);
      if (Shared.Store.revision() == LastRevision)
        continue;
      LastRevision = Shared.Store.revision();
      if (std::optional<Envelope> Stored = storedEnvelope()) {
        auto [Position, New] =
            StoredOperations.insert({Stored->Version, Stored->OperationId});
        CHECK(Position->second == Stored->OperationId);
      }
    }
  }

  // Checks that an author's answer agrees with the stored versions.
  void check(const std::string &OperationId, const AuthorAnswer &Answer) const {
    REQUIRE(Answer.Answered);
    int Times = 0;
    uint64_t StoredAs = 0;
    for (const auto &[Version, Operation] : StoredOperations)
      if (Operation == OperationId) {
        ++Times;
        StoredAs = Version;
      }
    CHECK(Times <= 1);
    if (Answer.Version) {
      CHECK(Times == 1);
      CHECK(*Answer.Version == StoredAs);
    } else if (*Answer.Error != AcceptanceErrorCode::Unknown) {
      CHECK(Times == 0);
    }
  }
};

} // namespace

TEST_CASE("a replaced document whose answer was lost is reported as accepted") {
  Authors Fleet(1, 2);
  AuthorAnswer First;
  Fleet.Shared.LoseAnswers = 1;
  Fleet.accept(0, "first", First);
  Fleet.advance(10ms); // Written; the answer is lost.
  Fleet.Clients[0]->CutOff = true;
  AuthorAnswer Second;
  Fleet.accept(1, "second", Second);
  Fleet.advance(100ms);
  Fleet.Clients[0]->CutOff = false;
  Fleet.advance(20s);
  CHECK(First.Version == 1u);
  CHECK(Second.Version == 2u);
  AuthorAnswer Repeated;
  Fleet.accept(1, "first", Repeated);
  Fleet.advance(1s);
  CHECK(Repeated.Version == 1u);
  CHECK(Fleet.storedEnvelope()->Version == 2);
}

TEST_CASE(
    "concurrent authors get correct answers although some answers are lost") {
  for (uint64_t Seed = 1; Seed <= 30; ++Seed) {
    CAPTURE(Seed);
    Authors Fleet(Seed, 3);
    Fleet.Shared.Spread = 5;
    constexpr size_t Rounds = 8;
    std::vector<std::array<AuthorAnswer, 3>> Answers(Rounds);
    for (size_t Round = 0; Round < Rounds; ++Round) {
      Fleet.Shared.LoseAnswers = static_cast<int>(Fleet.Rng.below(3));
      for (size_t Author = 0; Author < 3; ++Author) {
        std::string Id =
            "op-" + std::to_string(Round) + "-" + std::to_string(Author);
        std::optional<uint64_t> Base;
        if (Fleet.Rng.below(2) == 0)
          Base = Fleet.storedEnvelope() ? Fleet.storedEnvelope()->Version : 0;
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

TEST_CASE("an envelope keeps the ids of a bounded number of operations") {
  Envelope Value;
  Value.Version = 1;
  Value.OperationId = "op-1";
  for (uint64_t Version = 2; Version <= 30; ++Version) {
    Value.Past = Value.pastOfNext();
    Value.Version = Version;
    Value.OperationId = "op-" + std::to_string(Version);
  }
  CHECK(Value.Past.size() == MaxPastOperations);
  Envelope Reparsed = parseEnvelope(formatEnvelope(Value)).value();
  CHECK(Reparsed.Past == Value.Past);
  CHECK(Reparsed.versionOf("op-30") == 30u);
  CHECK(Reparsed.versionOf("op-22") == 22u);
  CHECK_FALSE(Reparsed.versionOf("op-21"));
}
