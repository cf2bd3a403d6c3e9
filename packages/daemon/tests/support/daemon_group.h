#ifndef BULRUSHPITCH_DAEMON_TESTS_SUPPORT_DAEMON_GROUP_H
#define BULRUSHPITCH_DAEMON_TESTS_SUPPORT_DAEMON_GROUP_H

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/daemon/gateway_daemon.h"
#include "bulrushpitch/net/net.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace bulrushpitch::testing {

/// @brief Gateway daemons in one process, in the regions "west" and "hill". Each has a loop of its own, so
/// that it can stand still while its connections stay open.
class DaemonGroup {
public:
  /// @param Context the loop of everything else in the test
  explicit DaemonGroup(boost::asio::io_context &Context) : m_Context(Context) {}

  /// @brief Starts a daemon.
  /// @param Domain "west-a" or "hill-a"
  /// @return whether it started
  bool start(const std::string &Name, const std::string &Domain, const Endpoint &Store) {
    GatewaySettings Settings;
    Settings.m_Instance = InstanceId(Name);
    Settings.m_Domain = DomainId(Domain);
    Settings.m_Domains = {{DomainId("west-a"), RegionId("west")}, {DomainId("hill-a"), RegionId("hill")}};
    Settings.m_Region = Settings.m_Domains[Settings.m_Domain];
    Settings.m_Listen.m_Callers = {"127.0.0.1", 0};
    Settings.m_Listen.m_Readiness = {"127.0.0.1", 0};
    Settings.m_Listen.m_Peers = SocketAddress{"127.0.0.1", 0};
    Settings.m_Store = {Store.m_Address, Store.m_Port};
    Settings.m_Bounds.m_RetryShare = 1.0;
    Settings.m_Bounds.m_RetryReserve = 100.0;
    m_Members.push_back(std::make_unique<Member>(Settings));
    return capture([this] { return m_Members.back()->m_Daemon.start(); }).hasValue();
  }

  std::size_t size() const { return m_Members.size(); }
  /// @return number of daemons that do not stand still
  std::size_t running() const {
    return static_cast<std::size_t>(
        std::count_if(m_Members.begin(), m_Members.end(),
                      [](const std::unique_ptr<Member> &Each) { return !Each->m_Frozen; }));
  }
  bool frozen(std::size_t Index) const { return m_Members[Index]->m_Frozen; }
  /// @brief The daemon stands still from now on.
  void freeze(std::size_t Index) { m_Members[Index]->m_Frozen = true; }
  /// @return where the daemon serves callers
  Endpoint callers(std::size_t Index) const { return m_Members[Index]->m_Daemon.addresses().m_Callers; }

  void runFor(std::chrono::milliseconds Period) {
    const TimePoint End = systemClock()() + Period;
    while (systemClock()() < End)
      runOnce();
  }
  /// @brief Lets everyone who does not stand still do what is due.
  void runOnce() {
    m_Context.restart();
    std::size_t Handlers = m_Context.poll();
    for (const std::unique_ptr<Member> &Each : m_Members)
      if (!Each->m_Frozen)
        Handlers += Each->m_Context.poll();
    if (Handlers == 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

private:
  struct Member {
    explicit Member(const GatewaySettings &Settings) : m_Daemon(m_Context, Settings) {}

    boost::asio::io_context m_Context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_Work =
        boost::asio::make_work_guard(m_Context);
    GatewayDaemon m_Daemon;
    bool m_Frozen = false;
  };

  boost::asio::io_context &m_Context;
  std::vector<std::unique_ptr<Member>> m_Members;
};

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_DAEMON_TESTS_SUPPORT_DAEMON_GROUP_H
