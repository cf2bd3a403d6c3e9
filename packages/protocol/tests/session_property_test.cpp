#include "bulrushpitch/protocol/protocol.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

/// Simulates requests of sessions without tokens at several daemons during a rollout.
class PinSimulation {
public:
  explicit PinSimulation(const Plan &Planned) : m_Sim(Planned, 4), m_Pins(4) {}

  void run() {
    for (std::size_t Index = 0; Index < m_Pins.size(); ++Index) {
      m_Pins[Index] = std::make_unique<SessionPins>();
      m_Sim.runPeriodically(Index, ms(100),
                            [this, Index] { execute(Index, m_Pins[Index]->tick(m_Sim.now())); });
    }
    for (int Number = 0; Number < 200; ++Number)
      m_Sim.scheduleAt(TimePoint(m_Sim.randomDuration(100, 20'000)), [this] { request(); });
    m_Sim.runUntil(std::max(TimePoint(ms(30'000)), m_Sim.lastFaultEnd() + ms(10'000)));
  }

  int m_VersionChanges = 0; ///< Requests that got another version than an earlier request of their session.
  int m_Pinned = 0;
  int m_Refused = 0;
  std::size_t m_Undecided = 0;
  bool m_HasWrongError = false; ///< A refusal was not error 806 with Ran::No.

private:
  void request() {
    const std::size_t Index = m_Sim.randomBelow(m_Pins.size());
    if (m_Sim.frozen(Index))
      return;
    const std::string Session = "s" + std::to_string(m_Sim.randomBelow(20));
    const VersionId Proposed(m_Sim.randomChance(0.5) ? "v1" : "v2");
    std::uint64_t Call = 0;
    const PinActions Actions = m_Pins[Index]->pin(
        m_Sim.now(),
        PinRequest{TeamId("t"), SessionId(Session), ModelId("m"), Proposed, m_Sim.now() + ms(2'500)}, Call);
    m_Calls[{Index, Call}] = Session;
    ++m_Undecided;
    execute(Index, Actions);
  }

  void execute(std::size_t Index, const PinActions &Actions) {
    for (const PinAction &Action : Actions)
      std::visit(Overloaded{[&](const CommitRows &Commit) {
                              std::vector<TableWrite> Writes = Commit.m_Writes;
                              if (mutationEnabled("pin-overwrite"))
                                Writes.front().m_Condition = TableCondition::Any;
                              m_Sim.commit(Index, Writes, [this, Index, Commit](const CommitResult &Outcome) {
                                execute(Index,
                                        m_Pins[Index]->committed(m_Sim.now(), Commit.m_Token, Outcome));
                              });
                            },
                            [&](const ReadRow &Row) {
                              m_Sim.read(Index, Row.m_Key, [this, Index, Row](const ReadResult &Outcome) {
                                execute(Index, m_Pins[Index]->rowRead(m_Sim.now(), Row.m_Token, Outcome));
                              });
                            },
                            [&](const PinDecision &Decision) { decided(Index, Decision); }},
                 Action);
  }

  void decided(std::size_t Index, const PinDecision &Decision) {
    --m_Undecided;
    if (Decision.m_Error) {
      ++m_Refused;
      m_HasWrongError = m_HasWrongError || Decision.m_Error->m_Code != ErrorCode::SessionStoreUnavailable ||
                        Decision.m_Error->m_Ran != Ran::No;
      return;
    }
    ++m_Pinned;
    const std::string &Session = m_Calls.at({Index, Decision.m_Call});
    const auto [Existing, IsNew] = m_Versions.emplace(Session, *Decision.m_Version);
    m_VersionChanges += !IsNew && Existing->second != *Decision.m_Version ? 1 : 0;
  }

  Simulation m_Sim;
  std::vector<std::unique_ptr<SessionPins>> m_Pins;
  std::map<std::pair<std::size_t, std::uint64_t>, std::string> m_Calls;
  std::map<std::string, VersionId> m_Versions;
};

KeyRing keyRing(const std::string &Current) {
  return KeyRing{{{"k1", "0123456789abcdef"}, {"k2", "fedcba9876543210"}}, Current};
}
WallTime wallTime(std::int64_t Seconds) { return WallTime(std::chrono::seconds(Seconds)); }

template <typename T> ErrorCode codeOf(const Expected<T> &Outcome) {
  return Outcome ? ErrorCode() : Outcome.error().m_Code;
}

const SessionClaims Claims{TeamId("t"),     SessionId("s"),  ModelId("m"),
                           VersionId("v1"), wallTime(1'000), wallTime(2'000)};

} // namespace

TEST_CASE("guarantee 3: a session that is known by its id only keeps its version") {
  CHECK(rc::check("pins", [] {
    PinSimulation Sim(drawPlan({FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::ResponseLost,
                                FaultKind::LateEffect, FaultKind::Freeze, FaultKind::PartitionRegion}));
    Sim.run();
    RC_ASSERT(Sim.m_VersionChanges == 0);
    RC_ASSERT(Sim.m_Undecided == 0U);
    RC_ASSERT(!Sim.m_HasWrongError);
    RC_ASSERT(Sim.m_Pinned > 0);
  }));
}

TEST_CASE(
    "guarantee 3: a session token is readable at any daemon, and rejected if any character is changed") {
  CHECK(rc::check("tokens", [] {
    const SessionTokens Issuer(keyRing("k1"));
    const SessionTokens Verifier(keyRing("k2"));
    const std::string Issued = Issuer.issue(Claims);
    std::string Token = Issued;
    const Expected<SessionClaims> Verified =
        capture([&] { return Verifier.verify(Token, TeamId("t"), wallTime(1'500)); });
    RC_ASSERT(Verified.hasValue());
    RC_ASSERT(*Verified == Claims);
    const std::size_t Position = *fullRange(rc::gen::inRange<std::size_t>(0, Token.size()));
    const char Character =
        *rc::gen::distinctFrom(rc::gen::elementOf(std::string("AZaz09-_.")), Token[Position]);
    Token[Position] = Character;
    RC_ASSERT(codeOf(capture([&] { return Verifier.verify(Token, TeamId("t"), wallTime(1'500)); })) ==
              ErrorCode::SessionTokenInvalid);
    // A payload with another version and the signature of the issued token.
    SessionClaims Changed = Claims;
    Changed.m_Version = VersionId("v" + std::to_string(*fullRange(rc::gen::inRange(2, 1'000))));
    std::string Forged = Issuer.issue(Changed);
    // With the mutation the forged token has a valid signature, as if signatures were not checked.
    if (!mutationEnabled("token-unsigned"))
      Forged = Forged.substr(0, Forged.rfind('.')) + Issued.substr(Issued.rfind('.'));
    RC_ASSERT(codeOf(capture([&] { return Verifier.verify(Forged, TeamId("t"), wallTime(1'500)); })) ==
              ErrorCode::SessionTokenInvalid);
  }));
}

TEST_CASE("session tokens expire, are valid for one team only, and stay valid until their key is removed") {
  const std::string Token = SessionTokens(keyRing("k1")).issue(Claims);
  const SessionTokens Rotated(keyRing("k2"));
  CHECK(codeOf(capture([&] { return Rotated.verify(Token, TeamId("t"), wallTime(2'000)); })) ==
        ErrorCode::SessionTokenExpired);
  CHECK(codeOf(capture([&] { return Rotated.verify(Token, TeamId("u"), wallTime(1'500)); })) ==
        ErrorCode::SessionTokenInvalid);
  const SessionTokens WithoutOld(KeyRing{{{"k2", "fedcba9876543210"}}, "k2"});
  CHECK(codeOf(capture([&] { return WithoutOld.verify(Token, TeamId("t"), wallTime(1'500)); })) ==
        ErrorCode::SessionTokenInvalid);
  CHECK(codeOf(capture([&] { return Rotated.verify("", TeamId("t"), wallTime(1'500)); })) ==
        ErrorCode::SessionTokenInvalid);
  CHECK_THROWS_AS(SessionTokens(KeyRing{{{"k", "short"}}, "k"}), std::invalid_argument);
}

TEST_CASE("a session token is rejected as a resume token") {
  const ResumeClaims Resume{TeamId("t"),  RequestId("r"), AttemptId("a"),   UpstreamId("u"), StreamId("st"),
                            ModelId("m"), VersionId("v"), std::uint64_t(7), wallTime(2'000)};
  const ResumeTokens Tokens(keyRing("k1"));
  const Expected<ResumeClaims> Verified =
      capture([&] { return Tokens.verify(Tokens.issue(Resume), TeamId("t"), wallTime(1'500)); });
  REQUIRE(Verified);
  CHECK(*Verified == Resume);
  const std::string SessionToken = SessionTokens(keyRing("k1")).issue(Claims);
  CHECK(codeOf(capture([&] { return Tokens.verify(SessionToken, TeamId("t"), wallTime(1'500)); })) ==
        ErrorCode::ResumeTokenInvalid);
  CHECK(codeOf(capture([&] { return Tokens.verify(Tokens.issue(Resume), TeamId("t"), wallTime(2'000)); })) ==
        ErrorCode::ResumeTokenInvalid);
}
