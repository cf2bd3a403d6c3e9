#include "forwarder_fixture.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <numeric>

using namespace bulrushpitch;
using namespace bulrushpitch::testing;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace {

struct Fixture : ForwarderFixture {
  /// Calls a function once, while requests are served.
  void later(milliseconds Delay, std::function<void()> Action) {
    m_Timer.expires_after(Delay);
    m_Timer.async_wait([Action = std::move(Action)](boost::system::error_code) { Action(); });
  }
  void removeFromRegistry(const std::string &Id) {
    m_State->m_Pool.remove(UpstreamId(Id), systemClock()(), Duration::zero());
  }
  /// Another request of this daemon could not connect to the upstream.
  void failConnection(const std::string &Id) {
    m_State->m_Pool.onSent(UpstreamId(Id));
    m_State->m_Pool.onEnded(UpstreamId(Id), AttemptOutcome::NotSent, systemClock()());
  }
  std::size_t requestsReceived() const {
    return std::accumulate(m_Upstreams.begin(), m_Upstreams.end(), std::size_t{0},
                           [](std::size_t Sum, const std::unique_ptr<ScriptedUpstream> &Upstream) {
                             return Sum + Upstream->requests().size();
                           });
  }

  asio::steady_timer m_Timer{m_Context};
};

const ScriptedReply LateReset{"", milliseconds(150), false, milliseconds(0), "", "", true};

} // namespace

// Guards against a second run of a request whose route allows one: an upstream that leaves is removed from
// the registry while it serves on, so the removal doesn't show that it has ended.
TEST_CASE_FIXTURE(Fixture, "an attempt counts though its upstream is removed from the registry meanwhile") {
  configure(RequestKind::Idempotent, 1);
  add(alwaysReply(LateReset));
  ScriptedUpstream &Other = add(alwaysReply({makeResponse("second run")}));
  later(milliseconds(50), [this] { removeFromRegistry("u1"); });
  CHECK(send(request()).m_Status == 502);
  CHECK(Other.requests().empty());
}

// Guards against a second run because of a connection that failed before the upstream took the request.
TEST_CASE_FIXTURE(Fixture, "an attempt counts though an earlier connection to its upstream had failed") {
  configure(RequestKind::Idempotent, 1);
  add(alwaysReply(LateReset));
  ScriptedUpstream &Other = add(alwaysReply({makeResponse("second run")}));
  failConnection("u1");
  CHECK(send(request()).m_Status == 502);
  CHECK(Other.requests().empty());
}

// Guards against a second run while the first goes on at an upstream that is too busy for new connections.
TEST_CASE_FIXTURE(Fixture, "an attempt that got no answer counts though its upstream takes no connections") {
  configure(RequestKind::Idempotent, 1);
  add(alwaysReply({makeResponse("slow"), milliseconds(1200)}));
  ScriptedUpstream &Other = add(alwaysReply({makeResponse("second run")}));
  later(milliseconds(50), [this] { failConnection("u1"); });
  CHECK(send(request()).m_Body == "slow");
  CHECK(Other.requests().empty());
}

TEST_CASE_FIXTURE(Fixture, "an attempt at an upstream that has stopped since doesn't count") {
  configure(RequestKind::Idempotent, 1);
  add(alwaysReply(LateReset));
  add(alwaysReply({makeResponse("right")}));
  later(milliseconds(50), [this] { failConnection("u1"); });
  CHECK(send(request()).m_Body == "right");
}

// Guards against routes with few attempts, which are rare, on any way in which an attempt ends.
TEST_CASE_FIXTURE(Fixture, "a request runs on no more upstreams than its route allows, however they fail") {
  constexpr std::size_t UpstreamCount = 4;
  const std::string Whole = makeResponse("whole");
  const std::array<ScriptedReply, 6> Failures{
      ScriptedReply{"", milliseconds(10), false, milliseconds(0), "", "", true},
      ScriptedReply{"", milliseconds(10), true},
      ScriptedReply{Whole.substr(0, Whole.size() - 2), milliseconds(10), true},
      ScriptedReply{makeResponse("forged", ""), milliseconds(10)},
      ScriptedReply{makeResponse("failed", "signed: 1\r\n", 500), milliseconds(10)},
      ScriptedReply{"", milliseconds(1000)},
  };
  const std::array<std::function<void(const std::string &)>, 3> Disturbances{
      [](const std::string &) {},
      [this](const std::string &Id) { removeFromRegistry(Id); },
      [this](const std::string &Id) {
        RegisteredUpstream Leaving = m_State->m_Pool.find(UpstreamId(Id))->m_Entry;
        Leaving.m_Draining = true;
        m_State->m_Pool.update(Leaving, systemClock()());
      },
  };
  for (const RequestKind Kind : {RequestKind::Idempotent, RequestKind::NonIdempotent, RequestKind::Stream})
    for (std::uint32_t Attempts = 1; Attempts <= 3; ++Attempts)
      for (const ScriptedReply &Failure : Failures)
        for (const std::function<void(const std::string &)> &Disturb : Disturbances) {
          removeUpstreams();
          configure(Kind, Attempts);
          for (std::size_t Index = 0; Index < UpstreamCount; ++Index) {
            const std::string Id = "u" + std::to_string(Index + 1);
            add([this, Failure, Disturb, Id](const std::string &, int) {
              // While the request runs there.
              asio::post(m_Context, [Disturb, Id] { Disturb(Id); });
              return Failure;
            });
          }
          HttpRequest Outgoing = request();
          Outgoing.m_Headers.add("patience", "100");
          static_cast<void>(send(std::move(Outgoing)));
          CHECK(requestsReceived() <= Attempts);
        }
}
