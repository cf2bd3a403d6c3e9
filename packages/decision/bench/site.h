#ifndef BULRUSHPITCH_DECISION_BENCH_SITE_H
#define BULRUSHPITCH_DECISION_BENCH_SITE_H

#include "bulrushpitch/config/objects.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrushpitch::bench {

/// @brief Workload profile of a task.
struct TaskProfile {
  TaskName m_Name;
  double m_Share = 0.0; ///< Share of all requests.
  double m_PromptTokens = 0.0;
  double m_Tokens = 0.0; ///< Mean number of generated tokens.
  double m_DeadlineSeconds = 0.0;
  double m_QualityTarget = 0.0; ///< Minimum mean rating.
  bool m_Session = false;       ///< Whether the requests belong to sessions.
};

/// @brief Actual properties of a version. Except for the oracle, policies must estimate its quality.
struct VersionProperties {
  VersionId m_Id;
  double m_TokenInterval = 0.0;          ///< Seconds between tokens on an idle engine.
  double m_PrefillTokensPerSecond = 0.0; ///< Prompt tokens per second.
  std::vector<double> m_Quality;         ///< Mean rating by task.
};

/// @brief A simulated site: configuration, workload and actual properties of the versions.
struct Site {
  std::string m_Name;
  Configuration m_Config;
  std::vector<TaskProfile> m_Tasks;
  std::vector<VersionProperties>
      m_Versions; ///< In ascending order of price; the last one may be under rollout.
  std::uint32_t m_DaemonCount = 8;
};

/// Standard deviation of the part of a rating that is common to all versions' answers to a request.
constexpr double DifficultyDeviation = 0.05;
/// Standard deviation of the part of a rating that is specific to a single answer.
constexpr double AnswerDeviation = 0.06;
constexpr double FullBatchSlowdown = 2.0; ///< Token interval in a full batch over that of a single stream.

/// @brief Ampara Current Works: kiosk answers, tags and shift summaries on 20 engines.
Site ampara();
/// @brief Spoločné Dlaždice Consortium: long reports, matches and short replies on 10 engines.
Site dlazdice();

/// @brief A request of a simulated trace.
struct Job {
  double m_Arrival = 0.0; ///< Seconds from the start.
  std::uint32_t m_Team = 0;
  std::uint32_t m_Task = 0;
  std::uint32_t m_Daemon = 0;
  std::uint64_t m_Session = 0; ///< 0 if none.
  std::uint32_t m_PromptTokens = 0;
  std::uint32_t m_Tokens = 0;
  double m_Difficulty = 0.0;      ///< Added to the rating of each version's answer.
  std::uint64_t m_RatingSeed = 0; ///< Seed of the parts of the ratings that differ by version.
};

/// @return the rating, from 0 to 1, of a version's answer to a job
double ratingOf(const Site &TestSite, const Job &Request, std::size_t Version);

/// @brief The cheapest version or cascade that reaches a task's quality target, from the actual qualities.
struct CheapestChoice {
  std::vector<std::uint32_t> m_Steps; ///< Version indices in order; more than one for a cascade.
  double m_AcceptAt = 0.0;
  double m_Cost = 0.0; ///< Microcents per request.
};
CheapestChoice cheapestChoice(const Site &TestSite, std::size_t Task);

/// @return requests per second at which the engines of the most loaded version are saturated, if every
/// request uses its cheapest choice
double saturationRate(const Site &TestSite);

/// @brief Generates a trace. The same arguments give the same trace.
/// @param Rate requests per second
std::vector<Job> makeTrace(const Site &TestSite, double Rate, double Seconds, std::uint64_t Seed);

} // namespace bulrushpitch::bench

#endif // BULRUSHPITCH_DECISION_BENCH_SITE_H
