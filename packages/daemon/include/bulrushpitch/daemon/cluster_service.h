#ifndef BULRUSHPITCH_DAEMON_CLUSTER_SERVICE_H
#define BULRUSHPITCH_DAEMON_CLUSTER_SERVICE_H

#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/async.h"
#include "bulrushpitch/platform/platform.h"
#include "bulrushpitch/protocol/protocol.h"
#include "bulrushpitch/rpc/rpc.h"
#include "bulrushpitch/timeline/timeline.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief The daemon's part in the cluster: membership, configuration and restrictions.
///
/// It exchanges digests with peers, polls the head row and the instance list, fetches revisions, and tells
/// the other services of changes. It also decides whether this daemon may serve.
class ClusterService : public Service {
public:
  using ConfigurationHook = std::function<void(const Configuration &Effective)>;
  using MemberGoneHook = std::function<void(const CopyHolder &Gone)>;
  using ListHook = std::function<void(const std::vector<ListedInstance> &)>;
  using PauseHook = std::function<void()>;

  ClusterService(const Runtime &Base, TableService &Table, ObjectStore &Objects, InstanceList &Instances,
                 PeerClient &Peers, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  /// @name Subscriptions; to be made before start()
  /// @{
  void onConfiguration(ConfigurationHook Hook) { m_OnConfiguration.push_back(std::move(Hook)); }
  void onMemberGone(MemberGoneHook Hook) { m_OnMemberGone.push_back(std::move(Hook)); }
  void onInstanceList(ListHook Hook) { m_OnList.push_back(std::move(Hook)); }
  void onPause(PauseHook Hook) { m_OnPause.push_back(std::move(Hook)); }
  /// @}

  /// @return nothing if this daemon may serve, else the error to answer with (310 or 309, not run)
  std::optional<Error> notReady() const;
  /// @return the configuration with the restrictions in force applied
  std::shared_ptr<const Configuration> effective() const { return m_Store.effective(); }
  const ConfigStore &store() const { return m_Store; }
  /// @return a recent revision, or null if it is no longer held
  std::shared_ptr<const Configuration> at(ConfigRevision Revision) const;
  Membership &membership() { return m_Membership; }
  const InstanceId &self() const { return m_Self; }
  std::uint64_t incarnation() const { return m_Membership.incarnation(); }
  /// @return the peer RPC address of an instance, if known
  std::optional<Endpoint> addressOf(const InstanceId &Id) const;
  /// @return the operator address of an instance, if known
  std::optional<Endpoint> adminOf(const InstanceId &Id) const;
  /// @return whether the last read of the head row succeeded
  bool storeSeen() const { return m_StoreSeen; }

  /// @brief Holds a revision that this daemon published or fetched, and pushes it to peers.
  /// @return whether it was newer than what was held
  bool install(Configuration Offered, const InstanceId &Publisher);
  /// @brief Applies an operator's restriction and pushes it to peers.
  /// @return whether it was new
  bool restrict(const Restriction &Added);
  /// @brief Tells peers that this daemon leaves.
  void announceLeaving();
  /// @brief Reads the head row now and fetches the revision it names if it is newer.
  boost::asio::awaitable<Expected<ConfigRevision>> pollHead();
  /// @brief Does pollHead() in the background.
  void refresh() { spawn(m_Runtime.m_Context, refreshHead()); }

  /// @name Answers to peers
  /// @{
  boost::asio::awaitable<Expected<PeerDigest>> answerExchange(PeerDigest From);
  boost::asio::awaitable<Expected<PeerDelta>> answerFetch(PeerFetch Wanted);
  boost::asio::awaitable<Expected<PeerProbeResult>> answerProbe(PeerProbe Target);
  PeerStatus status() const;
  /// @}

private:
  void run(MembershipActions Actions);
  void execute(ExchangeWith Action);
  void execute(const ProbeThrough &Action);
  void execute(const FetchFrom &Action);
  void execute(const MemberGone &Action);
  boost::asio::awaitable<void> exchange(ExchangeWith Action);
  boost::asio::awaitable<void> probe(InstanceId Via, InstanceId Target);
  boost::asio::awaitable<void> fetch(InstanceId From);
  boost::asio::awaitable<void> pollList();
  boost::asio::awaitable<void> refreshHead();
  boost::asio::awaitable<Expected<Done>> fetchSnapshot(std::string Name, InstanceId Publisher);

  void forgetAddresses();
  void heard(const PeerDigest &From);
  void configurationChanged();
  void updateHolds();
  PeerDigest toPeer(const Digest &Own) const;
  static Digest toProtocol(const PeerDigest &From);
  void headAnswered(bool Reachable);
  void tick();

  Runtime m_Runtime;
  TableService &m_Table;
  ObjectStore &m_Objects;
  InstanceList &m_Instances;
  PeerClient &m_Peers;
  Recorder &m_Events;
  InstanceId m_Self;
  ConfigStore m_Store;
  Membership m_Membership;
  StartupGate m_Gate;
  PauseDetector m_Pauses;
  InstanceId m_Publisher;
  std::map<InstanceId, Endpoint> m_Rpc;
  std::map<InstanceId, Endpoint> m_Admin;
  /// The newest configurations, so that peers can fetch deltas.
  std::map<ConfigRevision, std::shared_ptr<const Configuration>> m_Recent;
  bool m_StoreSeen = false;
  bool m_Fetching = false;
  bool m_PollingHead = false;
  bool m_PollingList = false;
  bool m_WasReady = false;
  std::vector<ConfigurationHook> m_OnConfiguration;
  std::vector<MemberGoneHook> m_OnMemberGone;
  std::vector<ListHook> m_OnList;
  std::vector<PauseHook> m_OnPause;
  Ticker m_Tick;
  Ticker m_HeadPoll;
  Ticker m_ListPoll;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_CLUSTER_SERVICE_H
