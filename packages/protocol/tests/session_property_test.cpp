#include "bulrushpitch/protocol/protocol.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

/// Requests of a few sessions, known by id only, at several daemons during a rollout.
class PinWorld {
public:
  explicit PinWorld(const Plan &Planned) : m_Sim(Planned, 4), m_Pins(4) {}

  void run() {
    for (std::size_t Index = 0; Index < m_Pins.size(); ++Index) {
      m_Pins[Index] = std::make_unique<SessionPins>();
      m_Sim.every(Index, ms(100), [this, Index] { carryOut(Index, m_Pins[Index]->tick(m_Sim.now())); });
    }
    for (int Number = 0; Number < 200; ++Number)
      m_Sim.at(TimePoint(m_Sim.between(100, 20'000)), [this] { request(); });
    m_Sim.runUntil(std::max(TimePoint(ms(30'000)), m_Sim.quiet() + ms(10'000)));
  }

  int m_Moved = 0; ///< Requests of a session that were told another version than an earlier one.
  int m_Pinned = 0;
  int m_Refused = 0;
  std::size_t m_Undecided = 0;
  bool m_BadRefusal = false;

private:
  void request() {
    const std::size_t Index = m_Sim.below(m_Pins.size());
    if (m_Sim.frozen(Index))
      return;
    const std::string Session = "s" + std::to_string(m_Sim.below(20));
    const VersionId Proposed(m_Sim.chance(0.5) ? "v1" : "v2");
    std::uint64_t Call = 0;
    const PinActions Actions = m_Pins[Index]->pin(
        m_Sim.now(),
        PinRequest{TeamId("t"), SessionId(Session), ModelId("m"), Proposed, m_Sim.now() + ms(2'500)}, Call);
    m_Calls[{Index, Call}] = Session;
    ++m_Undecided;
    carryOut(Index, Actions);
  }

  void carryOut(std::size_t Index, const PinActions &Actions) {
    for (const PinAction &Action : Actions)
      std::visit(Overloaded{[&](const CommitRows &Commit) {
                              std::vector<TableWrite> Writes = Commit.m_Writes;
                              if (mutation("pin-overwrite"))
                                Writes.front().m_Condition = TableCondition::Any;
                              m_Sim.commit(Index, Writes, [this, Index, Commit](const CommitResult &Outcome) {
                                carryOut(Index,
                                         m_Pins[Index]->committed(m_Sim.now(), Commit.m_Token, Outcome));
                              });
                            },
                            [&](const ReadRow &Row) {
                              m_Sim.read(Index, Row.m_Key, [this, Index, Row](const ReadResult &Outcome) {
                                carryOut(Index, m_Pins[Index]->rowRead(m_Sim.now(), Row.m_Token, Outcome));
                              });
                            },
                            [&](const PinDecision &Decision) { decided(Index, Decision); }},
                 Action);
  }

  void decided(std::size_t Index, const PinDecision &Decision) {
    --m_Undecided;
    if (Decision.m_Error) {
      ++m_Refused;
      m_BadRefusal = m_BadRefusal || Decision.m_Error->m_Code != ErrorCode::SessionStoreUnavailable ||
                     Decision.m_Error->m_Ran != Ran::No;
      return;
    }
    ++m_Pinned;
    const std::string &Session = m_Calls.at({Index, Decision.m_Call});
    const auto [Known, IsNew] = m_Versions.emplace(Session, *Decision.m_Version);
    m_Moved += !IsNew && Known->second != *Decision.m_Version ? 1 : 0;
  }

  Simulation m_Sim;
  std::vector<std::unique_ptr<SessionPins>> m_Pins;
  std::map<std::pair<std::size_t, std::uint64_t>, std::string> m_Calls;
  std::map<std::string, VersionId> m_Versions;
};

KeyRing ring(const std::string &Current) {
  return KeyRing{{{"k1", "0123456789abcdef"}, {"k2", "fedcba9876543210"}}, Current};
}
WallTime wall(std::int64_t Seconds) { return WallTime(std::chrono::seconds(Seconds)); }

template <typename T> ErrorCode codeOf(const Expected<T> &Outcome) {
  return Outcome ? ErrorCode() : Outcome.error().m_Code;
}

const SessionClaims Claims{TeamId("t"),     SessionId("s"), ModelId("m"),
                           VersionId("v1"), wall(1'000),    wall(2'000)};

} // namespace

TEST_CASE("guarantee 3: a session that is known by its id only keeps its version") {
  CHECK(rc::check("pins", [] {
    PinWorld World(drawPlan({FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::AnswerLost,
                             FaultKind::LateEffect, FaultKind::Freeze, FaultKind::CutRegion}));
    World.run();
    RC_ASSERT(World.m_Moved == 0);
    RC_ASSERT(World.m_Undecided == 0U);
    RC_ASSERT(!World.m_BadRefusal);
    RC_ASSERT(World.m_Pinned > 0);
  }));
}

TEST_CASE("guarantee 3: a session token survives no change, and names its version at any daemon") {
  CHECK(rc::check("tokens", [] {
    const SessionTokens Issuer(ring("k1"));
    const SessionTokens Other(ring("k2"));
    const std::string Issued = Issuer.issue(Claims);
    std::string Token = Issued;
    const Expected<SessionClaims> Read =
        capture([&] { return Other.verify(Token, TeamId("t"), wall(1'500)); });
    RC_ASSERT(Read.hasValue());
    RC_ASSERT(*Read == Claims);
    const std::size_t Place = *full(rc::gen::inRange<std::size_t>(0, Token.size()));
    const char Character = *rc::gen::distinctFrom(rc::gen::elementOf(std::string("AZaz09-_.")), Token[Place]);
    Token[Place] = Character;
    RC_ASSERT(codeOf(capture([&] { return Other.verify(Token, TeamId("t"), wall(1'500)); })) ==
              ErrorCode::SessionTokenInvalid);
    // A payload that names another version, with the signature of the token that was issued.
    SessionClaims Changed = Claims;
    Changed.m_Version = VersionId("v" + std::to_string(*full(rc::gen::inRange(2, 1'000))));
    std::string Forged = Issuer.issue(Changed);
    if (!mutation("token-unsigned")) // With it, the signature is as good as not checked.
      Forged = Forged.substr(0, Forged.rfind('.')) + Issued.substr(Issued.rfind('.'));
    RC_ASSERT(codeOf(capture([&] { return Other.verify(Forged, TeamId("t"), wall(1'500)); })) ==
              ErrorCode::SessionTokenInvalid);
  }));
}

TEST_CASE("session tokens expire, belong to one team and outlive a rotation of keys until the old key goes") {
  const std::string Token = SessionTokens(ring("k1")).issue(Claims);
  const SessionTokens Rotated(ring("k2"));
  CHECK(codeOf(capture([&] { return Rotated.verify(Token, TeamId("t"), wall(2'000)); })) ==
        ErrorCode::SessionTokenExpired);
  CHECK(codeOf(capture([&] { return Rotated.verify(Token, TeamId("u"), wall(1'500)); })) ==
        ErrorCode::SessionTokenInvalid);
  const SessionTokens WithoutOld(KeyRing{{{"k2", "fedcba9876543210"}}, "k2"});
  CHECK(codeOf(capture([&] { return WithoutOld.verify(Token, TeamId("t"), wall(1'500)); })) ==
        ErrorCode::SessionTokenInvalid);
  CHECK(codeOf(capture([&] { return Rotated.verify("", TeamId("t"), wall(1'500)); })) ==
        ErrorCode::SessionTokenInvalid);
  CHECK_THROWS_AS(SessionTokens(KeyRing{{{"k", "short"}}, "k"}), std::invalid_argument);
}

TEST_CASE("a session token does not pass for a resume token") {
  const ResumeClaims Resume{TeamId("t"),  RequestId("r"), AttemptId("a"),   UpstreamId("u"), StreamId("st"),
                            ModelId("m"), VersionId("v"), std::uint64_t(7), wall(2'000)};
  const ResumeTokens Tokens(ring("k1"));
  const Expected<ResumeClaims> Read =
      capture([&] { return Tokens.verify(Tokens.issue(Resume), TeamId("t"), wall(1'500)); });
  REQUIRE(Read);
  CHECK(*Read == Resume);
  const std::string Foreign = SessionTokens(ring("k1")).issue(Claims);
  CHECK(codeOf(capture([&] { return Tokens.verify(Foreign, TeamId("t"), wall(1'500)); })) ==
        ErrorCode::ResumeTokenInvalid);
  CHECK(codeOf(capture([&] { return Tokens.verify(Tokens.issue(Resume), TeamId("t"), wall(2'000)); })) ==
        ErrorCode::ResumeTokenInvalid);
}
