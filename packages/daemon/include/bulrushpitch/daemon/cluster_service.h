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

/// @brief Cluster state of the daemon: membership, configuration and restrictions.
///
/// Exchanges digests with peers, polls the head row and the instance list, fetches configuration revisions,
/// and notifies the other services of changes. Also decides whether this daemon may serve requests.
class ClusterService : public Service {
public:
  using ConfigurationHook = std::function<void(const Configuration &Effective)>;
  using MemberLostHook = std::function<void(const CopyHolder &Lost)>;
  using InstanceListHook = std::function<void(const std::vector<ListedInstance> &)>;
  using PauseHook = std::function<void()>;

  ClusterService(const Runtime &Base, TableService &Table, ObjectStore &Objects, InstanceList &Instances,
                 PeerClient &Peers, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  /// @name Subscriptions; to be registered before start()
  /// @{
  void onConfiguration(ConfigurationHook Hook) { m_OnConfiguration.push_back(std::move(Hook)); }
  void onMemberLost(MemberLostHook Hook) { m_OnMemberLost.push_back(std::move(Hook)); }
  void onInstanceList(InstanceListHook Hook) { m_OnInstanceList.push_back(std::move(Hook)); }
  void onPause(PauseHook Hook) { m_OnPause.push_back(std::move(Hook)); }
  /// @}

  /// @return std::nullopt if this daemon may serve requests, else the error to respond with (310 or 309; the
  ///   request was not run)
  std::optional<Error> readinessError() const;
  /// @return the current configuration with the active restrictions applied
  std::shared_ptr<const Configuration> effectiveConfiguration() const { return m_ConfigStore.effective(); }
  const ConfigStore &configStore() const { return m_ConfigStore; }
  /// @return the configuration of a recent revision, or null if it is no longer kept
  std::shared_ptr<const Configuration> configurationAt(ConfigRevision Revision) const;
  Membership &membership() { return m_Membership; }
  const InstanceId &self() const { return m_Self; }
  std::uint64_t incarnation() const { return m_Membership.incarnation(); }
  /// @return the peer RPC address of an instance, if known
  std::optional<Endpoint> peerAddressOf(const InstanceId &Id) const;
  /// @return the operator address of an instance, if known
  std::optional<Endpoint> adminAddressOf(const InstanceId &Id) const;
  /// @return whether the last read of the head row from the table service succeeded
  bool storeReachable() const { return m_StoreReachable; }

  /// @brief Installs a revision that this daemon published or fetched, and pushes it to peers.
  /// @return whether it was newer than the revision installed before
  bool install(Configuration NewConfiguration, const InstanceId &Publisher);
  /// @brief Applies an operator's restriction and pushes it to peers.
  /// @return whether the restriction was new
  bool restrict(const Restriction &NewRestriction);
  /// @brief Announces to peers that this daemon is leaving.
  void announceLeaving();
  /// @brief Reads the head row now and fetches the revision that it names if that is newer.
  /// @return the revision that the head row names, or the error of the read or of the fetch
  boost::asio::awaitable<Expected<ConfigRevision>> pollHead();
  /// @brief Starts pollHead() in the background.
  void startHeadPoll() { spawn(m_Runtime.m_Context, pollHeadIgnoringResult()); }

  /// @name Handlers of peer RPC calls
  /// @{
  boost::asio::awaitable<Expected<PeerDigest>> handleExchange(PeerDigest Received);
  boost::asio::awaitable<Expected<PeerDelta>> handleFetch(PeerFetch Request);
  boost::asio::awaitable<Expected<PeerProbeResult>> handleProbe(PeerProbe Request);
  PeerStatus status() const;
  /// @}

private:
  void run(MembershipActions Actions);
  void execute(ExchangeWith Action);
  void execute(const ProbeIndirectly &Action);
  void execute(const FetchFrom &Action);
  void execute(const MemberLost &Action);
  boost::asio::awaitable<void> exchange(ExchangeWith Action);
  boost::asio::awaitable<void> probe(InstanceId Via, InstanceId Target);
  boost::asio::awaitable<void> fetch(InstanceId From);
  boost::asio::awaitable<void> pollInstanceList();
  boost::asio::awaitable<void> pollHeadIgnoringResult();
  boost::asio::awaitable<Expected<Done>> fetchSnapshot(std::string Name, InstanceId Publisher);

  void pruneAddresses();
  void applyDigest(const PeerDigest &Received);
  void configurationChanged();
  void updateMembership();
  PeerDigest toPeer(const Digest &OwnDigest) const;
  static Digest toProtocol(const PeerDigest &Received);
  void updateStoreReachable(bool Reachable);
  void tick();

  Runtime m_Runtime;
  TableService &m_TableService;
  ObjectStore &m_ObjectStore;
  InstanceList &m_InstanceList;
  PeerClient &m_PeerClient;
  Recorder &m_Events;
  InstanceId m_Self;
  ConfigStore m_ConfigStore;
  Membership m_Membership;
  StartupGate m_StartupGate;
  PauseDetector m_PauseDetector;
  InstanceId m_RevisionPublisher;
  std::map<InstanceId, Endpoint> m_PeerAddresses;
  std::map<InstanceId, Endpoint> m_AdminAddresses;
  /// The newest configurations by revision, as bases for the deltas that peers fetch.
  std::map<ConfigRevision, std::shared_ptr<const Configuration>> m_RecentConfigurations;
  bool m_StoreReachable = false;
  bool m_Fetching = false;
  bool m_PollingHead = false;
  bool m_PollingInstanceList = false;
  bool m_WasReady = false;
  std::vector<ConfigurationHook> m_OnConfiguration;
  std::vector<MemberLostHook> m_OnMemberLost;
  std::vector<InstanceListHook> m_OnInstanceList;
  std::vector<PauseHook> m_OnPause;
  Ticker m_Tick;
  Ticker m_HeadPoll;
  Ticker m_InstanceListPoll;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_CLUSTER_SERVICE_H
