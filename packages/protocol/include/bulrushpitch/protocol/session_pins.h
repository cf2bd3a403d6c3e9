#ifndef BULRUSHPITCH_PROTOCOL_SESSION_PINS_H
#define BULRUSHPITCH_PROTOCOL_SESSION_PINS_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/protocol/table.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrushpitch {

/// @brief The row `session/<team>/<session id>`.
struct PinRow {
  ModelId m_Model;
  VersionId m_Version;
  bool operator==(const PinRow &) const = default;
};
std::string sessionKey(const TeamId &Team, const SessionId &Session);
std::string encodePin(const PinRow &Row);
Expected<PinRow> decodePin(const std::string &Value);

/// @brief Request to pin a session of which the caller sent only the id, no token.
struct PinRequest {
  TeamId m_Team;
  SessionId m_Session;
  ModelId m_Model;
  VersionId m_Version; ///< Version for a new session.
  TimePoint m_Deadline;
};

/// @brief Action: the outcome of pin(), reported exactly once per call.
struct PinDecision {
  std::uint64_t m_Call = 0;
  std::optional<VersionId> m_Version; ///< The pinned version; empty on error.
  /// 806 if the store is unavailable, 207 if the session belongs to another model.
  std::optional<Error> m_Error;
};
using PinAction = std::variant<CommitRows, ReadRow, PinDecision>;
using PinActions = std::vector<PinAction>;

/// @brief Pins sessions without a token by rows of the table service (design 3.7).
///
/// The first write of the row determines the version of the session; later writes are skipped, and every call
/// returns the version in the row.
class SessionPins {
public:
  /// @brief Pins a session, or reads its pinned version.
  /// @param Call set to the number that the PinDecision will carry
  PinActions pin(TimePoint Now, const PinRequest &Request, std::uint64_t &Call);
  PinActions committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome);
  PinActions rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome);
  /// @brief Refuses calls past their deadline.
  PinActions tick(TimePoint Now);

private:
  PinActions decide(std::uint64_t Call, const std::string &Value);
  PinActions refuse(std::uint64_t Call, const std::string &Detail);

  std::map<std::uint64_t, PinRequest> m_Calls; ///< The call number is also the token of its write and read.
  std::uint64_t m_NextCall = 1;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_SESSION_PINS_H
