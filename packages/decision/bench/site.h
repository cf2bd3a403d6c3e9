#ifndef BULRUSHPITCH_DECISION_BENCH_SITE_H
#define BULRUSHPITCH_DECISION_BENCH_SITE_H

#include "bulrushpitch/config/objects.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrushpitch::bench {

/// @brief A kind of request as a user sends it.
struct TaskProfile {
  TaskName m_Name;
  double m_Share = 0.0; ///< Of all requests.
  double m_PromptTokens = 0.0;
  double m_Tokens = 0.0; ///< Mean of the generated tokens.
  double m_DeadlineSeconds = 0.0;
  double m_Target = 0.0; ///< Quality.
  bool m_Session = false;
};

/// @brief What is true of a version, which policies must learn.
struct VersionTruth {
  VersionId m_Id;
  double m_Gap = 0.0;              ///< Seconds between tokens on an idle engine.
  double m_PrefillPerSecond = 0.0; ///< Prompt tokens.
  std::vector<double> m_Quality;   ///< Mean rating by task.
};

/// @brief A user's site: configuration, workload and truths.
struct Site {
  std::string m_Name;
  Configuration m_Config;
  std::vector<TaskProfile> m_Tasks;
  std::vector<VersionTruth> m_Versions; ///< The cheapest first; the last one may be under rollout.
  std::uint32_t m_Daemons = 8;
};

/// Spread of single ratings around the mean: a part shared by all versions' answers to a request, and the
/// rest.
constexpr double DifficultySpread = 0.05;
constexpr double AnswerSpread = 0.06;
constexpr double FullBatchSlowdown = 2.0; ///< Gap in a full batch over the gap of a single stream.

/// @brief Ampara Current Works: kiosk answers, tags and shift summaries on 20 engines.
Site ampara();
/// @brief Spoločné Dlaždice Consortium: long reports, matches and short replies on 10 engines.
Site dlazdice();

/// @brief A request of a trace.
struct Job {
  double m_Arrival = 0.0; ///< Seconds from the start.
  std::uint32_t m_Team = 0;
  std::uint32_t m_Task = 0;
  std::uint32_t m_Daemon = 0;
  std::uint64_t m_Session = 0; ///< 0 if none.
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_Tokens = 0;
  double m_Difficulty = 0.0; ///< Added to the rating of each version's answer.
  std::uint64_t m_Noise = 0; ///< Seed of the versions' own parts of the rating.
};

/// @return the rating of the answer that a version gives to a job
double ratingOf(const Site &At, const Job &Asked, std::size_t Version);

/// @brief The cheapest way to reach each task's target, from the true qualities.
struct BestChoice {
  std::vector<std::uint32_t> m_Steps; ///< Versions in order; one unless it is a cascade.
  double m_AcceptAt = 0.0;
  double m_Cost = 0.0;
};
BestChoice bestChoice(const Site &At, std::size_t Task);

/// @return requests per second at which the busiest version's engines are full under the best choices
double fullRate(const Site &At);

/// @brief Makes a trace. The same arguments give the same trace.
std::vector<Job> makeTrace(const Site &At, double Rate, double Seconds, std::uint64_t Seed);

} // namespace bulrushpitch::bench

#endif // BULRUSHPITCH_DECISION_BENCH_SITE_H
