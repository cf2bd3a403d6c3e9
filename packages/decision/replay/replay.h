#ifndef BULRUSHPITCH_DECISION_REPLAY_REPLAY_H
#define BULRUSHPITCH_DECISION_REPLAY_REPLAY_H

#include "bulrushpitch/decision/decision.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch::replay {

/// @brief A parsed line of a trace: its words by position and its `name=value` options by name.
struct TraceLine {
  std::vector<std::string> m_Words;
  std::map<std::string, std::string> m_Options;

  /// @throw std::runtime_error if the line has no word at this index
  const std::string &word(std::size_t Index) const;
  /// @return the value of an option, or the default
  std::string option(const std::string &Name, const std::string &Default) const;
  /// @return the value of a numeric option, or the default
  /// @throw std::runtime_error if the value is not a number
  double number(const std::string &Name, double Default) const;
  /// @return whether the line contains this word
  bool flag(const std::string &Name) const;
};

/// @brief Runs the decision logic over a trace in the format of docs/policy.md and compares the outcomes
/// with the expected ones.
class Replay {
public:
  Replay();
  /// @brief Runs a line of the trace.
  /// @return error message for an invalid line or an unexpected outcome; empty on success
  std::string runLine(const std::string &Line);
  /// @brief Ends the trace.
  /// @return error message if the last action has no expected outcome; empty otherwise
  std::string finish();
  /// @return number of outcomes that matched the expected ones
  int outcomeCount() const { return m_OutcomeCount; }

private:
  void dispatchLine(const TraceLine &Line);
  void declare(const TraceLine &Line);
  void declareTeam(const TraceLine &Line);
  void declareModel(const TraceLine &Line);
  void declareVersion(const TraceLine &Line);
  void declareUpstream(const TraceLine &Line);
  void declareRollout(const TraceLine &Line);
  void start();
  void runAction(const TraceLine &Line);
  bool runOperatorAction(const TraceLine &Line);
  bool runObservation(const TraceLine &Line);
  void report(const TraceLine &Line);
  void rate(const TraceLine &Line);
  void request(const TraceLine &Line);
  void call(const TraceLine &Line);
  void offer(const TraceLine &Line);
  void take();
  void expect(const TraceLine &Line);
  void expectPlacement(const TraceLine &Line, const RouteDecision &Decision);
  void expectRejection(const TraceLine &Line, const Error &Rejection);
  void publish();

  int m_OutcomeCount = 0;
  bool m_Started = false;
  bool m_HeaderRead = false;
  Configuration m_BaseConfiguration;
  std::vector<Restriction> m_Restrictions;
  RouterSettings m_Settings;
  std::uint64_t m_Seed = 1;
  TimePoint m_Now{std::chrono::hours(1)};
  QualityEstimator m_Quality;
  UpstreamTable m_Upstreams;
  RolloutController m_Rollouts;
  LinkBudget m_Link;
  std::unique_ptr<AdmissionQueue> m_Queue;
  std::size_t m_QueueSize = 1024;
  std::unique_ptr<Router> m_Router;
  std::string m_PendingName; ///< Name of the request whose `expect` line must follow; empty if none.
  std::optional<Expected<RouteDecision>> m_PendingDecision;
  std::optional<Expected<std::uint64_t>> m_PendingOffer;
  std::optional<std::string> m_PendingTake;
};

} // namespace bulrushpitch::replay

#endif // BULRUSHPITCH_DECISION_REPLAY_REPLAY_H
