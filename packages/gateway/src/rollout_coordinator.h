#ifndef BULRUSHPITCH_GATEWAY_ROLLOUT_COORDINATOR_H
#define BULRUSHPITCH_GATEWAY_ROLLOUT_COORDINATOR_H

#include "bulrushpitch/gateway/event_log.h"
#include "bulrushpitch/gateway/gateway_state.h"
#include "bulrushpitch/gateway/ports.h"
#include "bulrushpitch/net/async.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>

namespace bulrushpitch {

/// @brief Coordinates rollouts with the other daemons: applies orders, statuses and evidence from the store,
/// and writes this daemon's decisions and evidence to it.
///
/// Not thread-safe; used from one event loop. Must be owned by a shared_ptr, which its store calls extend.
class RolloutCoordinator : public std::enable_shared_from_this<RolloutCoordinator> {
public:
  RolloutCoordinator(boost::asio::io_context &Context, ControlStore &Store, GatewayState &State,
                     EventLog &Log, ClockHook Clock);

  /// @brief Called when the store has come back from an older copy: rows are lost, and row versions are given
  /// out again. Orders, statuses and evidence that are applied later must have been read since.
  void onStoreRestored();
  /// @brief Called after the orders of a full snapshot have been applied. A rollout whose order is not in it
  /// was withdrawn, unless a restore of the store may have lost the order.
  void onOrdersRead(const std::vector<TrialOrder> &Orders);

  void applyOrder(const TrialOrder &Order);
  void withdrawOrder(const ServiceId &Service);
  /// @param RegisteredAt nothing if the entry may have been there before this daemon looked
  void recordUpstream(const RegisteredUpstream &Entry, std::optional<TimePoint> RegisteredAt);
  /// @brief Applies statuses. Ignored after a restore until the orders have been read, and then the full
  /// snapshot that takeStatusSnapshotNeeded() asked for: row versions before and after it don't compare.
  void apply(const TrialChanges &Changes);
  void apply(const EvidenceChanges &Changes);

  /// @return whether the statuses have to be read as a full snapshot; the caller then does so
  bool takeStatusSnapshotNeeded();
  /// @return whether the statuses have to be read or watched
  bool needsStatuses() const;
  /// @return whether the evidence has to be read as a full snapshot; the caller then does so
  bool takeEvidenceSnapshotNeeded();
  /// @return whether the other daemons' evidence has to be watched
  bool needsEvidence() const;
  /// @brief Writes statuses and evidence that are due. Called periodically.
  void onTick();

private:
  /// What has to be read from the store since it was restored.
  enum class Recovery : std::uint8_t { None, OrdersNeeded, StatusesNeeded };

  /// A write of a status, and when it began.
  struct StatusWrite {
    TrialStatus m_Status;
    double m_Evidence = 0.0;
    std::uint64_t m_TrialNumber = 0;
    std::uint64_t m_Restores = 0; ///< Restores of the store before it.
  };

  bool isOrderConfirmed(const ServiceId &Service) const;
  bool isStored(const ServiceId &Service, TrialState State) const;
  void applyStatus(const TrialStatus &Status);
  /// Takes the begin of a trial over that the daemons have agreed on.
  void agreeOnBegin(VersionTrial &Trial, const TrialStatus &Status);
  /// @return the status to write
  TrialStatus makeStatus(const VersionTrial &Trial, TrialState State) const;
  void onStatusWritten(const StatusWrite &Write);
  void writeStatusIfDue(const ServiceId &Service, const VersionTrial &Trial);
  void publishEvidence(const ServiceId &Service, VersionTrial &Trial);
  static boost::asio::awaitable<void> writeEvidence(std::shared_ptr<RolloutCoordinator> Self,
                                                    TrialEvidence Evidence, std::uint32_t Rank);
  static boost::asio::awaitable<void> writeStatus(std::shared_ptr<RolloutCoordinator> Self,
                                                  StatusWrite Write);

  boost::asio::io_context &m_Context;
  ControlStore &m_Store;
  GatewayState &m_State;
  EventLog &m_Log;
  ClockHook m_Clock;
  /// Read all rollout statuses again. Set by a new order, as its status may have been read and ignored before
  /// the order was known.
  bool m_TrialSnapshotNeeded = true;
  /// Read all evidence again. Set when an order got a new row version, as evidence that is bound to it may
  /// have been read and ignored before.
  bool m_EvidenceSnapshotNeeded = false;
  Recovery m_Recovery = Recovery::None;
  std::uint64_t m_Restores = 0;
  bool m_TrialWriteInProgress = false;
  TimePoint m_NextTrialWriteAt{};
  TimePoint m_NextEvidenceAt{};
  /// Services whose rollout order has not been read from the store since it was restored.
  std::set<ServiceId> m_UnconfirmedOrders;
  /// States that the store holds for the current rollouts, as far as known.
  std::map<ServiceId, TrialState> m_StoredStates;
  std::map<ServiceId, std::uint64_t> m_TrialNumbers; ///< Number of the service's current trial.
  std::map<ServiceId, TimePoint> m_TrialWriteDueSince;
  std::map<ServiceId, std::uint64_t> m_StatusRowVersions;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_ROLLOUT_COORDINATOR_H
