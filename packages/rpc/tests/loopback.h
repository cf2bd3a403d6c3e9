#ifndef BULRUSHPITCH_RPC_TESTS_LOOPBACK_H
#define BULRUSHPITCH_RPC_TESTS_LOOPBACK_H

#include "bulrushpitch/rpc/rpc.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bulrushpitch::test {

inline const Endpoint AnyPort{"127.0.0.1", 0};

/// Runs the loop until the coroutine has ended.
template <typename T> T await(boost::asio::io_context &Context, boost::asio::awaitable<T> Work) {
  std::shared_ptr<std::optional<T>> Result = std::make_shared<std::optional<T>>();
  const auto Store = [](boost::asio::awaitable<T> Task,
                        std::shared_ptr<std::optional<T>> To) -> boost::asio::awaitable<void> {
    To->emplace(co_await std::move(Task));
  };
  boost::asio::co_spawn(Context, Store(std::move(Work), Result), boost::asio::detached);
  Context.restart();
  while (!Result->has_value())
    REQUIRE(Context.run_one() == 1);
  return std::move(**Result);
}

/// A hook that returns its argument, or @p Reply if one is given.
template <typename T> PeerHook<T, T> echo() {
  return [](T Value) -> boost::asio::awaitable<Expected<T>> { co_return Value; };
}
template <typename Request, typename Reply> PeerHook<Request, Reply> constant(Reply Value) {
  return [Value](Request) -> boost::asio::awaitable<Expected<Reply>> { co_return Value; };
}

/// A digest as a daemon of a 400-daemon system sends it: all 8 members, no restrictions to pass on.
inline PeerDigest typicalDigest() {
  PeerDigest Digest;
  Digest.m_Instance = InstanceId("zapad-bratislava-a-017");
  Digest.m_Incarnation = 3;
  Digest.m_Domain = DomainId("bratislava-a");
  Digest.m_Region = RegionId("zapad");
  Digest.m_Rpc = {"10.20.30.40", 7001};
  Digest.m_Admin = {"10.20.30.40", 7002};
  Digest.m_Revision = ConfigRevision(2300);
  Digest.m_RestrictionHash = 0x123456789abcdefU;
  Digest.m_Lamport = LamportTime(1'000'000);
  Digest.m_HeadReadAge = std::chrono::milliseconds(850);
  for (std::size_t Index = 0; Index < PeerDigest::maxMembers; ++Index)
    Digest.m_Members.push_back({InstanceId("zapad-bratislava-a-02" + std::to_string(Index)),
                                2,
                                1,
                                PeerMemberState::Alive,
                                {"10.20.30.4" + std::to_string(Index), 7001},
                                DomainId("trnava-a"),
                                ConfigRevision(2300)});
  return Digest;
}

} // namespace bulrushpitch::test

#endif // BULRUSHPITCH_RPC_TESTS_LOOPBACK_H
