#ifndef BULRUSHPITCH_DECISION_REPLAY_REPLAY_H
#define BULRUSHPITCH_DECISION_REPLAY_REPLAY_H

#include "bulrushpitch/decision/decision.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch::replay {

/// @brief The words of a line: plain ones by position, `name=value` ones by name.
struct Words {
  std::vector<std::string> m_Plain;
  std::map<std::string, std::string> m_Named;

  /// @throw std::runtime_error if the word is absent
  const std::string &plain(std::size_t At) const;
  std::string named(const std::string &Name, const std::string &Default) const;
  double number(const std::string &Name, double Default) const;
  bool flag(const std::string &Name) const;
};

/// @brief Runs the decision logic over a trace in the format of docs/policy.md and compares the outcomes.
class Replay {
public:
  Replay();
  /// @brief Performs a line.
  /// @return what is wrong with it; empty if it is as stated
  std::string step(const std::string &Line);
  /// @brief Ends the trace.
  /// @return what is missing; empty if nothing is
  std::string finish();
  /// @return number of stated outcomes that were met
  int outcomes() const { return m_Outcomes; }

private:
  void perform(const Words &Line);
  void declare(const Words &Line);
  void declareTeam(const Words &Line);
  void declareModel(const Words &Line);
  void declareVersion(const Words &Line);
  void declareUpstream(const Words &Line);
  void declareRollout(const Words &Line);
  void start();
  void act(const Words &Line);
  bool actAsOperator(const Words &Line);
  bool observe(const Words &Line);
  void report(const Words &Line);
  void rate(const Words &Line);
  void request(const Words &Line);
  void call(const Words &Line);
  void offer(const Words &Line);
  void take();
  void expect(const Words &Line);
  void expectPlaced(const Words &Line, const RouteDecision &Decision);
  void expectRefused(const Words &Line, const Error &Refusal);
  void publish();

  int m_Outcomes = 0;
  bool m_Started = false;
  bool m_Versioned = false;
  Configuration m_Base;
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
  std::string m_Pending; ///< Name of the request whose outcome must be stated next.
  std::optional<Expected<RouteDecision>> m_Outcome;
  std::optional<Expected<std::uint64_t>> m_Offered;
  std::optional<std::string> m_Taken;
};

} // namespace bulrushpitch::replay

#endif // BULRUSHPITCH_DECISION_REPLAY_REPLAY_H
