#ifndef BULRUSHPITCH_CLIENT_DETAIL_COMMANDS_H
#define BULRUSHPITCH_CLIENT_DETAIL_COMMANDS_H

#include "detail/publisher.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch::detail {

/// @brief Options of `rollout start`.
struct RolloutOptions {
  std::string m_Name;
  std::string m_Model;
  std::string m_From;
  std::string m_To;
  std::optional<double> m_Share;
};

/// @brief Options of `timeline` beside the query's own fields.
struct TimelineOptions {
  std::string m_Request;
  std::string m_Upstream;
  std::string m_Domain;
  std::string m_Revision;
  std::string m_Svg; ///< File for a picture; no picture if empty.
};

/// @brief The commands, each of which prints its result and returns the exit code.
class Commands {
public:
  Commands(const CommonOptions &Options, const ClientHooks &Hooks)
      : m_Options(Options), m_Hooks(Hooks), m_Client(Options, Hooks), m_Publisher(m_Client) {}

  ExitCode check(const std::vector<std::string> &Paths) const;
  ExitCode diff(const std::vector<std::string> &Paths) const;
  ExitCode publish(const std::vector<std::string> &Paths, std::optional<std::uint64_t> Base,
                   const std::string &PublishName) const;
  ExitCode history(std::uint32_t Limit) const;
  ExitCode status() const;
  ExitCode explain(const std::string &Request) const;
  ExitCode timeline(const TimelineQuery &Query, const TimelineOptions &More) const;
  ExitCode charges(const std::string &Team) const;
  ExitCode restrict(RestrictionKind Kind, const std::string &Target) const;
  ExitCode bringBack(const std::string &Target) const;
  ExitCode startRollout(const RolloutOptions &Wanted) const;
  ExitCode pauseRollout(const std::string &Name) const;
  ExitCode drainInstance(const std::string &Name, std::optional<std::uint32_t> DeadlineSeconds) const;

private:
  ExitCode drawTimeline(const std::string &Target, const TimelineOptions &More) const;
  /// Reads a set and checks it against the published configuration, if a daemon is given.
  std::optional<ReadOutcome> readSet(const std::vector<std::string> &Paths, std::vector<DocumentFile> &Files,
                                     std::optional<ConfigReply> &Base, ExitCode &Code) const;
  void printFaults(const std::vector<Fault> &Faults) const;
  template <typename Reply> ExitCode showJson(const Reply &Answer) const {
    *m_Hooks.m_Out << encodeMessage(Answer) << "\n";
    return ExitCode::Done;
  }

  const CommonOptions &m_Options;
  const ClientHooks &m_Hooks;
  AdminClient m_Client;
  Publisher m_Publisher;
};

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_CLIENT_DETAIL_COMMANDS_H
