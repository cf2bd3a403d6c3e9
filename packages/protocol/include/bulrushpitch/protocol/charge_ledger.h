#ifndef BULRUSHPITCH_PROTOCOL_CHARGE_LEDGER_H
#define BULRUSHPITCH_PROTOCOL_CHARGE_LEDGER_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/protocol/table.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bulrushpitch {

/// @brief The cost of one request, stored as the row `charge/<team>/<request id>`.
struct Charge {
  TeamId m_Team;
  RequestId m_Request;
  AttemptId m_Attempt;
  std::string m_Target; ///< Version, or service and route.
  MicroCents m_Amount;
  Tokens m_PromptTokens;
  Tokens m_CompletionTokens;
  std::int64_t m_CompletedAt = 0; ///< Time at which the response ended, in milliseconds since 1970.
  bool operator==(const Charge &) const = default;
};
std::string chargeKey(const TeamId &Team, const RequestId &Request);
std::string encodeCharge(const Charge &Value);
Expected<Charge> decodeCharge(const std::string &Value);

/// @brief A process of a daemon that holds copies. The incarnation is part of the identity because a
/// restarted daemon has lost its copies.
struct CopyHolder {
  InstanceId m_Instance;
  std::uint64_t m_Incarnation = 0;
  friend auto operator<=>(const CopyHolder &, const CopyHolder &) = default;
  friend bool operator==(const CopyHolder &, const CopyHolder &) = default;
};

/// @brief Action: ask a daemon to hold copies; report its response with holdAnswered().
struct HoldCharges {
  std::uint64_t m_Token = 0;
  CopyHolder m_Receiver;
  std::vector<Charge> m_Charges;
};
/// @brief Action: notify a daemon that these charges are in the store; report its response with
/// dropAnswered().
struct DropCharges {
  std::uint64_t m_Token = 0;
  CopyHolder m_Receiver;
  std::vector<std::string> m_Keys;
};
/// @brief Action: the charge is stored or copied; the end of the response may be released to the caller.
struct ReleaseResponseEnd {
  std::string m_Key;
  AttemptId m_Attempt;
};
using ChargeAction = std::variant<CommitRows, HoldCharges, DropCharges, ReleaseResponseEnd>;
using ChargeActions = std::vector<ChargeAction>;

struct ChargeSettings {
  Duration m_MinFlushInterval = std::chrono::milliseconds(200);
  double m_FlushesPerSecond = 100; ///< Limit for all daemons together.
  std::size_t m_BatchRows = 100;
  std::size_t m_MaxCharges = 20'000; ///< Limit of own charges, and of copies held for other daemons.
  /// The holder of an older copy writes it to the store itself, if the store is up.
  Duration m_MaxCopyAge = std::chrono::seconds(60);
};

/// @brief Keeps every charge at two daemons until it is in the store (design 3.5).
class ChargeLedger {
public:
  /// @brief Chooses a live daemon to hold copies, preferably in another failure domain.
  /// @param Excluded daemons that must not be chosen
  using BackupHook = std::function<std::optional<CopyHolder>(const std::vector<InstanceId> &Excluded)>;
  ChargeLedger(CopyHolder Self, BackupHook Backup, ChargeSettings Settings = {});

  /// @return empty if a new billable request may be accepted; otherwise error 801 or 805 with Ran::No
  std::optional<Error> rejectionReason(TimePoint Now) const;
  /// @brief Adds the charge of a response that is complete except for its end, which waits for
  /// ReleaseResponseEnd.
  ChargeActions addCharge(TimePoint Now, const Charge &NewCharge);
  /// @brief Sends copies, repeats unanswered messages and flushes when due.
  /// @param Live number of live instances, for the flush interval
  ChargeActions tick(TimePoint Now, std::size_t Live);
  ChargeActions committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome);
  /// @brief Processes a backup daemon's response to HoldCharges.
  /// @param IsHeld false if it refused or did not respond
  ChargeActions holdAnswered(TimePoint Now, std::uint64_t Token, bool IsHeld);
  /// @brief Processes a backup daemon's response to DropCharges, or its absence. The message is repeated
  /// until there is a response.
  void dropAnswered(TimePoint Now, std::uint64_t Token, bool Answered);
  /// @brief Sets whether the store is reachable, as seen by the poll of the head row.
  void setStoreReachable(bool Up) { m_StoreUp = Up; }
  /// @brief Handles a daemon that left, restarted or is suspected: new copies replace those that it held, and
  /// this daemon writes the charges of which it holds copies for that one.
  ChargeActions memberLost(TimePoint Now, const CopyHolder &Lost);
  /// @brief Starts copying and flushing without waiting for the flush interval, for a graceful shutdown.
  ChargeActions flushNow(TimePoint Now);

  /// @brief Backup side: holds copies for @p Owner.
  /// @return false if the copies would exceed m_MaxCharges
  bool holdCopies(TimePoint Now, const CopyHolder &Owner, const std::vector<Charge> &Charges);
  /// @brief Backup side: drops the copies of charges that are in the store.
  ChargeActions dropCopies(TimePoint Now, const std::vector<std::string> &Keys);

  /// @return own charges that the store has not confirmed
  std::size_t unstoredCount() const { return m_OwnCharges.size(); }
  /// @return copies held for other daemons
  std::size_t heldCopyCount() const { return m_HeldCopies.size(); }
  /// @return own charges that are neither in the store nor copied
  std::size_t unreplicatedCount() const;
  /// @return max(200 ms, live instances / 100 per second) with the default settings
  Duration flushInterval(std::size_t Live) const;

private:
  struct OwnCharge {
    Charge m_Charge;
    std::optional<CopyHolder> m_Copy; ///< Daemon that holds the copy, if any.
    bool m_Replicated = false;        ///< Copied at least once; the end of the response may be released.
    /// Attempts whose response end is not released; none if taken over.
    std::vector<AttemptId> m_UnreleasedAttempts;
  };
  struct HeldCopy {
    Charge m_Charge;
    CopyHolder m_Owner;
    TimePoint m_Since;
  };
  struct PendingMessage {
    CopyHolder m_Receiver;
    std::vector<std::string> m_Keys;
    std::optional<TimePoint> m_RepeatAt;
  };
  std::optional<CopyHolder> chooseBackup(TimePoint Now) const;
  void sendCopies(TimePoint Now, ChargeActions &Actions);
  void resendDrops(TimePoint Now, ChargeActions &Actions);
  void adoptExpiredCopies(TimePoint Now);
  void flush(ChargeActions &Actions);
  void addOwnCharge(const Charge &NewCharge);
  void release(OwnCharge &Replicated, ChargeActions &Actions);
  void removeStored(const std::vector<std::string> &Keys, ChargeActions &Actions);
  void sendDrop(const CopyHolder &To, std::vector<std::string> Keys, ChargeActions &Actions);

  CopyHolder m_Self;
  BackupHook m_Backup;
  ChargeSettings m_Settings;
  std::map<std::string, OwnCharge> m_OwnCharges;
  std::map<std::string, HeldCopy> m_HeldCopies;
  std::set<std::string> m_KeysToCopy; ///< Own charges that have no copy and no HoldCharges in progress.
  std::map<std::uint64_t, PendingMessage> m_PendingHolds;            ///< HoldCharges without a response.
  std::map<std::uint64_t, PendingMessage> m_PendingDrops;            ///< DropCharges without a response.
  std::map<std::uint64_t, std::vector<std::string>> m_PendingCommit; ///< Keys of the commit in progress.
  std::map<InstanceId, TimePoint> m_LastFailedHolds; ///< Time of the last failed HoldCharges, by daemon.
  std::optional<TimePoint> m_NextFlush;
  bool m_StoreUp = true;
  std::uint64_t m_NextToken = 1;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_CHARGE_LEDGER_H
