#ifndef BULRUSHPITCH_PROTOCOL_CLAIM_MANAGER_H
#define BULRUSHPITCH_PROTOCOL_CLAIM_MANAGER_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/protocol/table.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrushpitch {

enum class ClaimState : std::uint8_t { Dispatched, Done, Released };
const char *nameOf(ClaimState Value);

/// @brief The row `claim/<team>/<request id>`.
struct ClaimRow {
  ClaimState m_State = ClaimState::Dispatched;
  AttemptId m_Attempt;
  UpstreamId m_Upstream;
  std::string m_Response; ///< Response of the upstream; set if the state is Done.
  bool operator==(const ClaimRow &) const = default;
};
std::string claimKey(const TeamId &Team, const RequestId &Request);
std::string encodeClaim(const ClaimRow &Row);
Expected<ClaimRow> decodeClaim(const std::string &Value);

/// @brief Request to run a non-idempotent call.
struct ClaimRequest {
  TeamId m_Team;
  RequestId m_Request;
  AttemptId m_Attempt; ///< Globally unique; never reused.
  UpstreamId m_Upstream;
  TimePoint m_Deadline; ///< The call must not be sent after this time.
};

enum class ClaimVerdict : std::uint8_t {
  Proceed, ///< The row is confirmed: send the call now, then report completed(), notSent() or responseLost().
  Stored,  ///< The request ran before; m_Answer is its stored response.
  Unknown, ///< Another attempt may have run (error 803).
  Refused, ///< Nothing ran (error 804).
};
const char *nameOf(ClaimVerdict Value);

/// @brief Action: the outcome of ClaimManager::begin(), reported exactly once per attempt.
struct ClaimDecision {
  AttemptId m_Attempt;
  ClaimVerdict m_Verdict = ClaimVerdict::Refused;
  std::string m_Response;       ///< Set for Stored.
  std::optional<Error> m_Error; ///< For Unknown and Refused.
};
using ClaimAction = std::variant<CommitRows, ReadRow, ClaimDecision>;
using ClaimActions = std::vector<ClaimAction>;

struct ClaimSettings {
  Duration m_BatchDelay = std::chrono::milliseconds(5);
  std::size_t m_BatchRows = 25;
  Duration m_RetryInterval = std::chrono::seconds(1); ///< Between failed attempts to write Done or Released.
};

/// @brief Claims of non-idempotent calls (design 3.4).
///
/// Inserts are committed with SkipIfPresent, so that a claim that is already taken does not fail the rest of
/// its batch. When a claim is released while its insert may still take effect, an absent row is written as
/// Released, so that the late insert is skipped.
class ClaimManager {
public:
  explicit ClaimManager(ClaimSettings Settings = {});
  ~ClaimManager();
  ClaimManager(ClaimManager &&) noexcept;
  ClaimManager &operator=(ClaimManager &&) noexcept;

  /// @brief Queues the insert of a claim; the outcome follows as a ClaimDecision.
  ClaimActions begin(TimePoint Now, const ClaimRequest &Request);
  /// @brief Records the response of the upstream; the write is retried until the store confirms it.
  ClaimActions completed(TimePoint Now, const AttemptId &Attempt, const std::string &Response);
  /// @brief Releases the claim of a call of which certainly no byte was sent.
  ClaimActions notSent(TimePoint Now, const AttemptId &Attempt);
  /// @brief The call may have run, but its response is lost. The row stays Dispatched.
  void responseLost(const AttemptId &Attempt);
  /// @brief Flushes batches, retries writes and refuses calls past their deadline. Call every 5 ms.
  ClaimActions tick(TimePoint Now);
  ClaimActions committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome);
  ClaimActions rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome);

  /// @return number of claims that are being inserted, run or released
  std::size_t size() const;
  /// @return number of releases that the store has not confirmed
  std::size_t pendingReleases() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_CLAIM_MANAGER_H
