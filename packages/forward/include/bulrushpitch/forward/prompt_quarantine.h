#ifndef BULRUSHPITCH_FORWARD_PROMPT_QUARANTINE_H
#define BULRUSHPITCH_FORWARD_PROMPT_QUARANTINE_H

/// @file
/// @brief Quarantines the parts of prompts that crash the upstreams which run them.

#include "bulrushpitch/forward/crash_attribution.h"

#include <compare>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bulrushpitch {

/// @brief One start of an upstream.
struct UpstreamIncarnation {
  UpstreamId m_Id;
  std::int64_t m_StartedAt = 0; ///< As in the registry; 0 if not stated.

  friend auto operator<=>(const UpstreamIncarnation &, const UpstreamIncarnation &) = default;
};

/// @brief A crash as one daemon saw it.
struct CrashEvidence {
  UpstreamIncarnation m_Upstream;
  Duration m_Age{}; ///< Time since the crash.
  /// Parts of the requests that were under way there.
  SuspectParts m_Suspects;
};

/// @brief What one daemon tells the others about crashes. It replaces what the daemon told before.
struct PromptEvidence {
  InstanceId m_Daemon;
  std::vector<CrashEvidence> m_Crashes;
  /// Parts that the evidence of the other daemons accuses, and that this one has had an answer to.
  std::map<PromptPartId, Duration> m_Sound; ///< With the time since the last whole answer.
  /// Whole answers to requests with the suspects, with weights that fall with their age.
  std::map<PromptPartId, std::uint32_t> m_Answered;

  /// @return whether there is nothing to tell
  bool empty() const { return m_Crashes.empty() && m_Sound.empty(); }
};

/// @brief What became of an upstream that broke requests off.
enum class UpstreamFate {
  Unknown,   ///< It has sent nothing since.
  Alive,     ///< It has sent something since, as far as is known the same start of it.
  Restarted, ///< The registry has a later start of it under the same id.
};

/// Returns what became of the upstream since the given time.
using UpstreamFateHook = std::function<UpstreamFate(const UpstreamIncarnation &, TimePoint)>;

/// @brief A part of a prompt that is in quarantine, and why.
struct QuarantinedPart {
  PromptPartId m_Part;
  std::uint32_t m_Crashes = 0; ///< Crashes that it is blamed for.
  Duration m_Age{};            ///< Time since the last of them.
};

/// @brief Collects evidence on crashes from all daemons, and quarantines the parts of prompts that
/// attributeCrashes() blames.
///
/// A part is suspected of a crash if a request with it was under way there, whatever had come of its answer:
/// a crash shows at the caller later than it happens, and with or without the bytes that were sent before.
/// Against the crashes count the whole answers to requests with the part, at all daemons: the more of them,
/// the more crashes are needed. A whole answer after a crash, at any daemon, clears the part of that crash.
/// Not thread-safe.
class PromptQuarantine {
public:
  /// @param Own this daemon
  explicit PromptQuarantine(InstanceId Own) : m_Own(std::move(Own)) {}

  /// @brief An upstream broke off a request, at any point.
  /// @param Parts the parts of its prompt that other requests may share, first to last
  /// @param Request hash of the request's id; the same for all of its attempts
  void onBrokenOff(const UpstreamIncarnation &Upstream, const std::vector<PromptPartId> &Parts,
                   std::uint32_t Request, TimePoint Now);
  /// @brief This daemon closed a response before its end. The upstream may run the request all the same; if
  /// it crashes right after, the parts are suspected.
  void onDropped(const UpstreamIncarnation &Upstream, const std::vector<PromptPartId> &Parts,
                 std::uint32_t Request, TimePoint Now);
  /// @brief An upstream broke off a request, at any point. Accuses the responses that were dropped there.
  void onUpstreamBroke(const UpstreamIncarnation &Upstream, TimePoint Now);
  /// @brief A request with these parts got its whole answer.
  void onAnswered(const std::vector<PromptPartId> &Parts, TimePoint Now);
  /// @brief Takes what a daemon has published. What this daemon published before a restart counts again.
  void onEvidence(const std::vector<PromptEvidence> &Published, TimePoint Now);
  /// @brief Takes a full snapshot of what the daemons have published. What the other daemons had published
  /// before is dropped, except what a restored store may have lost.
  void onSnapshot(const std::vector<PromptEvidence> &Published, TimePoint Now);
  /// @brief The store was restored from an older copy. Call it before the first snapshot of the restored
  /// store is taken, if a snapshot was taken before.
  ///
  /// This daemon's evidence is published again, and withdrawn again if the copy has what was withdrawn. The
  /// evidence of each other daemon is kept until that daemon publishes or withdraws something, or until a
  /// fixed time has passed in which it would have done so.
  void onStoreRestored(TimePoint Now);
  /// @brief Drops what the other daemons have published, before a full snapshot of it is taken.
  void forgetOthers();
  /// @brief Drops evidence that has expired, and upstreams that broke a request off but have not crashed.
  void update(const UpstreamFateHook &Fate, TimePoint Now);

  /// @return the first of these parts that is in quarantine
  /// @complexity logarithmic in the number of quarantined parts, for each part
  std::optional<QuarantinedPart> find(const std::vector<PromptPartId> &Parts, TimePoint Now) const;
  /// @return this daemon's evidence, if it has changed since the last call
  /// @param Rank this daemon's rank in the order in which daemons clear a part; a part that one has cleared
  /// needs no other
  std::optional<PromptEvidence> takeUnpublished(TimePoint Now, std::uint32_t Rank);
  /// @brief The last publication failed; takeUnpublished() returns the evidence again.
  void onPublicationFailed() { m_PublicationFailed = true; }
  /// @return the parts in quarantine, with the crashes that they are blamed for
  const std::map<PromptPartId, CrashBlame> &quarantined() const { return m_Quarantined; }
  /// @return whether a crash is known that has not expired
  bool hasCrashes() const;
  /// @return whether a crash is known that the daemon has published and that has not expired
  bool hasCrashesOf(const InstanceId &Daemon) const;

private:
  struct Crash : UpstreamCrash {
    bool m_Confirmed = false; ///< The upstream has sent nothing since.
    /// The upstream has sent something since. Kept for a while: the registry may show that it was a new
    /// start.
    bool m_Refuted = false;
  };
  /// Whole answers on a part at this daemon.
  struct Answers {
    TimePoint m_LastAt{};
    double m_Weight = 0.0; ///< At m_LastAt.
  };
  /// What another daemon has published about whole answers.
  struct PublishedAnswers {
    TimePoint m_At{};
    std::map<PromptPartId, std::uint32_t> m_Weights;
  };
  using Crashes = std::map<UpstreamIncarnation, Crash>;
  using CrashesByDaemon = std::map<InstanceId, Crashes>; ///< By the daemon that saw them.
  /// A response that this daemon dropped.
  struct DroppedResponse {
    UpstreamIncarnation m_Upstream;
    std::vector<PromptPartId> m_Parts;
    std::uint32_t m_Request = 0;
    TimePoint m_At{};
  };

  static Crash &crashOf(Crashes &Known, const UpstreamIncarnation &Upstream, TimePoint At);
  void addSuspect(SuspectParts &Suspects, const PromptPartId &Part, SuspectPart Added) const;
  /// @return the weight of the whole answers at this daemon
  double ownAnswers(const PromptPartId &Part, TimePoint Now) const;
  /// @return the weight of the whole answers at all daemons
  double answers(const PromptPartId &Part, TimePoint Now) const;
  /// @return the number of moments with crashes, at any daemon
  std::size_t crashMomentsSince(TimePoint Time) const;
  /// @return own crashes in the form in which they are published
  std::vector<CrashEvidence> publishableCrashes(TimePoint Now) const;
  /// @return whether a whole answer on the part has come since the time
  bool clearedSince(const PromptPartId &Part, TimePoint Time) const;
  SuspectParts suspectsOf(const Crash &Record) const;
  /// @return the confirmed crashes of all daemons
  /// @param Cleared whether to leave out parts that were cleared by answers at this daemon
  std::vector<UpstreamCrash> mergedCrashes(bool Cleared) const;
  std::uint32_t requiredMoments(const PromptPartId &Part, TimePoint Now) const;
  void judge(TimePoint Now);
  /// @return parts that the other daemons' evidence accuses and that are sound, as this daemon knows
  std::map<PromptPartId, Duration> soundParts(TimePoint Now, std::uint32_t Rank);
  std::set<PromptPartId> accusedSoundParts() const;
  void take(const PromptEvidence &Published, TimePoint Now);
  void takeOwn(const PromptEvidence &Published, TimePoint Now);
  void addCrashes(const PromptEvidence &Published, TimePoint Now);
  void dropExpired(CrashesByDaemon &Known, const UpstreamFateHook &Fate, TimePoint Now) const;
  using Suspicions = std::unordered_map<std::string_view, std::uint32_t>;
  /// @return in how many records of a crash each part is
  Suspicions countSuspicions() const;
  void mergeInto(std::map<UpstreamIncarnation, UpstreamCrash> &Merged, const CrashesByDaemon &Known,
                 const Suspicions &Counts, bool Cleared) const;
  void forgetAnswers(TimePoint Now);

  InstanceId m_Own;
  CrashesByDaemon m_Crashes;
  CrashesByDaemon m_KeptCrashes; ///< Published by others before a restore of the store, and not since.
  TimePoint m_KeptUntil{};
  std::map<PromptPartId, Answers> m_Answers; ///< At this daemon.
  std::map<InstanceId, PublishedAnswers> m_OthersAnswers;
  std::deque<DroppedResponse> m_Dropped; ///< The latest ones, oldest first.
  std::map<PromptPartId, CrashBlame> m_Quarantined;
  PromptEvidence m_Published; ///< What the other daemons know.
  bool m_PublicationFailed = false;
  bool m_KnowsOwnEvidence = false;                  ///< The store's row is not needed, as it was read before.
  std::map<PromptPartId, TimePoint> m_AccusedSince; ///< Sound parts that are accused.
  std::map<PromptPartId, TimePoint> m_ClearedBy;    ///< When another daemon had a whole answer on the part.
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_PROMPT_QUARANTINE_H
