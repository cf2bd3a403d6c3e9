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

/// @brief Publishes operators' configurations and keeps their history.
class PublicationService : public Service {
public:
  PublicationService(const Runtime &Base, ClusterService &Cluster, TableService &Rows, ObjectStore &Objects,
                     std::shared_ptr<TableExecutor> Table, Recorder &Events);

  Result<void> start() override;
  void stop() override;

  /// @brief Checks and publishes a set of documents.
  /// @return what became of it, or error 6xx if the outcome is not known yet; the operator asks again with
  /// the
  ///   same publish id
  boost::asio::awaitable<Expected<PublishReply>> publish(PublishRequest Request);
  /// @return the newest revisions, the newest first
  boost::asio::awaitable<Expected<HistoryReply>> history(std::size_t Limit);
  /// @return who published a revision; empty entries if it is not known
  boost::asio::awaitable<Expected<HistoryEntry>> historyEntry(ConfigRevision Revision);

private:
  struct Running {
    Running(Publication Machine, Configuration Target)
        : m_Machine(std::move(Machine)), m_Target(std::move(Target)) {}
    Publication m_Machine;
    Configuration m_Target;
    bool m_Stored = false; ///< The snapshot object is known to hold m_Target.
  };
  using RunningPtr = std::shared_ptr<Running>;

  void run(const RunningPtr &Target, PublicationActions Actions);
  void execute(const RunningPtr &Target, CommitRows Action);
  void execute(const RunningPtr &Target, ReadRow Action);
  void execute(const RunningPtr &Target, PutObject Action);
  void execute(const RunningPtr &Target, const InstallRevision &Action);
  boost::asio::awaitable<void> put(RunningPtr Target, PutObject Action);
  boost::asio::awaitable<PublishStatus> waitFor(RunningPtr Target);
  boost::asio::awaitable<Expected<std::optional<PublishReply>>> findEarlier(const PublishRequest &Request);
  boost::asio::awaitable<std::string> winnerOf(ConfigRevision Revision);
  void tick();

  Runtime m_Runtime;
  ClusterService &m_Cluster;
  TableService &m_Rows;
  ObjectStore &m_Objects;
  std::shared_ptr<TableExecutor> m_Table;
  Recorder &m_Events;
  std::map<PublishId, RunningPtr> m_Running;
  Ticker m_Tick;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_PUBLICATION_SERVICE_H
