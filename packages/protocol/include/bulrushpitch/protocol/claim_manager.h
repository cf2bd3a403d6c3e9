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
  std::string m_Answer; ///< Of a claim that is Done.
  bool operator==(const ClaimRow &) const = default;
};
std::string claimKey(const TeamId &Team, const RequestId &Request);
std::string encodeClaim(const ClaimRow &Row);
Expected<ClaimRow> decodeClaim(const std::string &Value);

/// @brief A non-idempotent call that wants to run.
struct ClaimRequest {
  TeamId m_Team;
  RequestId m_Request;
  AttemptId m_Attempt; ///< Never used before.
  UpstreamId m_Upstream;
  TimePoint m_Deadline; ///< Later than this the call must not be sent.
};

enum class ClaimVerdict : std::uint8_t {
  Proceed, ///< The row is confirmed: send the call now, and report completed() or notSent().
  Stored,  ///< The request ran before; m_Answer is its answer.
  Unknown, ///< Another attempt may have run (error 803).
  Refused, ///< Nothing ran (error 804).
};
const char *nameOf(ClaimVerdict Value);

/// @brief Action: the outcome of ClaimManager::begin() for one attempt, reported once.
struct ClaimDecision {
  AttemptId m_Attempt;
  ClaimVerdict m_Verdict = ClaimVerdict::Refused;
  std::string m_Answer;
  std::optional<Error> m_Error; ///< For Unknown and Refused.
};
using ClaimAction = std::variant<CommitRows, ReadRow, ClaimDecision>;
using ClaimActions = std::vector<ClaimAction>;

struct ClaimSettings {
  Duration m_BatchDelay = std::chrono::milliseconds(5);
  std::size_t m_BatchRows = 25;
  Duration m_Repeat = std::chrono::seconds(1); ///< Between attempts to write Done or Released.
};

/// @brief Claims of non-idempotent calls (design 3.4).
///
/// Inserts are committed with SkipIfSet, so that one claim that is already taken does not fail the others of
/// its batch. A release of a claim whose insert may still take effect writes the row as Released if it is
/// absent, so that the late insert finds it set.
class ClaimManager {
public:
  explicit ClaimManager(ClaimSettings Settings = {});
  ~ClaimManager();
  ClaimManager(ClaimManager &&) noexcept;
  ClaimManager &operator=(ClaimManager &&) noexcept;

  ClaimActions begin(TimePoint Now, const ClaimRequest &Request);
  /// @brief The upstream answered; the answer is written until the store has confirmed it.
  ClaimActions completed(TimePoint Now, const AttemptId &Attempt, const std::string &Answer);
  /// @brief It is certain that no byte of the call was sent; the claim is released.
  ClaimActions notSent(TimePoint Now, const AttemptId &Attempt);
  /// @brief The call may have run, and its answer is lost. The claim stays Dispatched.
  void lost(const AttemptId &Attempt);
  /// @brief Flushes batches, repeats writes and refuses calls past their deadline. Call every 5 ms.
  ClaimActions tick(TimePoint Now);
  ClaimActions committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome);
  ClaimActions rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome);

  /// @return claims that are being written, run or released
  std::size_t size() const;
  /// @return releases that the store has not confirmed yet
  std::size_t pendingReleases() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_CLAIM_MANAGER_H
