#ifndef BULRUSHPITCH_DAEMON_EXCHANGE_REGISTRY_H
#define BULRUSHPITCH_DAEMON_EXCHANGE_REGISTRY_H

#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/daemon/cluster_service.h"

#include <cstdint>
#include <map>
#include <set>

namespace bulrushpitch {

class ModelExchange;

/// @brief The model requests that this daemon processes, and their attempts.
class ExchangeRegistry {
public:
  /// @brief The cluster service must outlive this object.
  explicit ExchangeRegistry(const ClusterService &Cluster) : m_Cluster(Cluster) {}

  void add(ModelExchange &Exchange) { m_Active.insert(&Exchange); }
  /// @brief Removes an exchange and its attempts.
  void remove(ModelExchange &Exchange);
  const std::set<ModelExchange *> &active() const { return m_Active; }

  /// @return a new attempt id, unique across all daemons and restarts
  AttemptId newAttemptId();
  void startAttempt(const AttemptId &Attempt, ModelExchange &Exchange) { m_ByAttempt[Attempt] = &Exchange; }
  void endAttempt(const AttemptId &Attempt) { m_ByAttempt.erase(Attempt); }
  /// @return the exchange of a running attempt; null if there is none
  ModelExchange *findByAttempt(const AttemptId &Attempt) const;

private:
  const ClusterService &m_Cluster;
  std::set<ModelExchange *> m_Active;
  std::map<AttemptId, ModelExchange *> m_ByAttempt;
  std::uint64_t m_NextAttemptNumber = 1;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_EXCHANGE_REGISTRY_H
