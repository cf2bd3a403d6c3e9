#ifndef BULRUSHPITCH_DAEMON_PUBLICATION_SERVICE_H
#define BULRUSHPITCH_DAEMON_PUBLICATION_SERVICE_H

#include "bulrushpitch/config/admin_api.h"
#include "bulrushpitch/daemon/cluster_service.h"
#include "bulrushpitch/daemon/runtime.h"
#include "bulrushpitch/daemon/table_executor.h"
#include "bulrushpitch/kernel/kernel.h"
#include "bulrushpitch/net/async.h"
#include "bulrushpitch/platform/platform.h"
#include "bulrushpitch/protocol/publication.h"

#include <map>
#include <memory>
#include <string>

namespace bulrushpitch {

/// @brief Publishes the configurations that operators submit, and keeps their history.
class PublicationService : public Service {
public:
  PublicationService(const Runtime &Base, ClusterService &Cluster, TableService &Rows, ObjectStore &Objects,
                     std::shared_ptr<TableExecutor> Table, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  /// @brief Validates and publishes a set of documents.
  /// @return the outcome, or error 6xx if it is not known yet; the operator then retries with the same
  ///   publish id
  boost::asio::awaitable<Expected<PublishReply>> publish(PublishRequest Request);
  /// @return the newest revisions, at most Limit, the newest first
  boost::asio::awaitable<Expected<HistoryReply>> history(std::size_t Limit);
  /// @return who published a revision; an empty entry if that is not known
  boost::asio::awaitable<Expected<HistoryEntry>> historyEntry(ConfigRevision Revision);

private:
  struct ActivePublication {
    ActivePublication(Publication Machine, Configuration NewConfiguration)
        : m_Machine(std::move(Machine)), m_Configuration(std::move(NewConfiguration)) {}
    Publication m_Machine;
    Configuration m_Configuration;
    bool m_SnapshotStored = false; ///< The snapshot object is known to hold m_Configuration.
  };
  using ActivePublicationPtr = std::shared_ptr<ActivePublication>;

  void run(const ActivePublicationPtr &Active, PublicationActions Actions);
  void execute(const ActivePublicationPtr &Active, CommitRows Action);
  void execute(const ActivePublicationPtr &Active, ReadRow Action);
  void execute(const ActivePublicationPtr &Active, PutObject Action);
  void execute(const ActivePublicationPtr &Active, const InstallRevision &Action);
  boost::asio::awaitable<void> put(ActivePublicationPtr Active, PutObject Action);
  boost::asio::awaitable<PublishStatus> waitForOutcome(ActivePublicationPtr Active);
  /// @return the reply of an earlier request with the same publish id, if that was committed
  boost::asio::awaitable<Expected<std::optional<PublishReply>>>
  findEarlierReply(const PublishRequest &Request);
  /// @return the operator who published a revision; empty if that is not known
  boost::asio::awaitable<std::string> publisherOf(ConfigRevision Revision);
  void tick();

  Runtime m_Runtime;
  ClusterService &m_Cluster;
  TableService &m_TableService;
  ObjectStore &m_ObjectStore;
  std::shared_ptr<TableExecutor> m_TableExecutor;
  Recorder &m_Events;
  std::map<PublishId, ActivePublicationPtr> m_ActivePublications;
  Ticker m_Tick;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_PUBLICATION_SERVICE_H
