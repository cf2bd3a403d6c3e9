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

/// @brief What a request costs. The row `charge/<team>/<request id>`.
struct Charge {
  TeamId m_Team;
  RequestId m_Request;
  AttemptId m_Attempt;
  std::string m_Target; ///< Version, or service and route.
  MicroCents m_Amount;
  Tokens m_Prompt;
  Tokens m_Completion;
  std::int64_t m_At = 0; ///< Milliseconds since 1970, at the answer's end.
  bool operator==(const Charge &) const = default;
};
std::string chargeKey(const TeamId &Team, const RequestId &Request);
std::string encodeCharge(const Charge &Value);
Expected<Charge> decodeCharge(const std::string &Value);

/// @brief A daemon, as the holder of copies. A restarted daemon holds none, so the incarnation counts.
struct CopyHolder {
  InstanceId m_Instance;
  std::uint64_t m_Incarnation = 0;
  friend auto operator<=>(const CopyHolder &, const CopyHolder &) = default;
  friend bool operator==(const CopyHolder &, const CopyHolder &) = default;
};

/// @brief Action: ask a daemon to hold copies; report its answer with heldBy().
struct HoldCharges {
  std::uint64_t m_Token = 0;
  CopyHolder m_To;
  std::vector<Charge> m_Charges;
};
/// @brief Action: tell a daemon that these charges are in the store; report its answer with dropAnswered().
struct DropCharges {
  std::uint64_t m_Token = 0;
  CopyHolder m_To;
  std::vector<std::string> m_Keys;
};
/// @brief Action: the charge is safe; the end of the answer may be released to the caller.
struct ReleaseEnd {
  std::string m_Key;
  AttemptId m_Attempt;
};
using ChargeAction = std::variant<CommitRows, HoldCharges, DropCharges, ReleaseEnd>;
using ChargeActions = std::vector<ChargeAction>;

struct ChargeSettings {
  Duration m_MinFlush = std::chrono::milliseconds(200);
  double m_FlushesPerSecond = 100; ///< Of all daemons together.
  std::size_t m_BatchRows = 100;
  std::size_t m_MaxWaiting = 20'000;
  Duration m_HoldLimit =
      std::chrono::seconds(60); ///< An older copy is written by its holder if the store is up.
};

/// @brief Keeps every charge in two places until the store has it (design 3.5).
class ChargeLedger {
public:
  /// Chooses a live daemon to hold copies, not among those given: in another domain, or else in this one.
  using BackupHook = std::function<std::optional<CopyHolder>(const std::vector<InstanceId> &Excluded)>;
  ChargeLedger(CopyHolder Self, BackupHook Backup, ChargeSettings Settings = {});

  /// @return whether new billable work may be accepted; otherwise error 801 or 805, not run
  std::optional<Error> refusal(TimePoint Now) const;
  /// @brief Takes the charge of an answer that is complete but for its end.
  ChargeActions add(TimePoint Now, const Charge &Added);
  /// @brief Sends copies and flushes when due.
  /// @param Live live instances, for the flush interval
  ChargeActions tick(TimePoint Now, std::size_t Live);
  ChargeActions committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome);
  /// @brief Takes a backup daemon's answer, or its absence.
  ChargeActions heldBy(TimePoint Now, std::uint64_t Token, bool Held);
  /// @brief Takes a backup daemon's answer to DropCharges, or its absence; the message is repeated until
  /// answered.
  void dropAnswered(TimePoint Now, std::uint64_t Token, bool Answered);
  /// @brief Takes what the head-row poll shows of the store.
  void storeReachable(bool Up) { m_StoreUp = Up; }
  /// @brief A daemon left, restarted or is suspected: copies that it held are made again, and what it owned
  /// is written from here.
  ChargeActions memberGone(TimePoint Now, const CopyHolder &Gone);
  /// @brief Flushes and copies everything at once, for a graceful stop.
  ChargeActions handOver(TimePoint Now);

  /// @brief Backup side: holds copies for @p Owner.
  /// @return whether they are held; false when full
  bool hold(TimePoint Now, const CopyHolder &Owner, const std::vector<Charge> &Charges);
  /// @brief Backup side: the charges are in the store.
  ChargeActions drop(TimePoint Now, const std::vector<std::string> &Keys);

  /// @return own charges that the store has not confirmed
  std::size_t waiting() const { return m_Own.size(); }
  /// @return copies held for other daemons
  std::size_t held() const { return m_Held.size(); }
  /// @return own charges that are neither in the store nor copied
  std::size_t unsafe() const;
  /// @return max(200 ms, live instances / 100 per second)
  Duration flushInterval(std::size_t Live) const;

private:
  struct Own {
    Charge m_Charge;
    std::optional<CopyHolder> m_Copy;
    bool m_Safe = false;              ///< Copied at least once: the end of the answer is released.
    std::vector<AttemptId> m_Waiting; ///< Attempts whose end is not released yet; none if taken over.
  };
  struct Held {
    Charge m_Charge;
    CopyHolder m_Owner;
    TimePoint m_Since;
  };
  struct Batch {
    CopyHolder m_To;
    std::vector<std::string> m_Keys;
    std::optional<TimePoint> m_RepeatAt;
  };
  std::optional<CopyHolder> chooseBackup(TimePoint Now) const;
  void sendCopies(TimePoint Now, ChargeActions &Actions);
  void repeatDrops(TimePoint Now, ChargeActions &Actions);
  void adoptForgotten(TimePoint Now);
  void flush(ChargeActions &Actions);
  void own(const Charge &Added);
  void release(Own &Safe, ChargeActions &Actions);
  void stored(const std::vector<std::string> &Keys, ChargeActions &Actions);
  void sendDrop(const CopyHolder &To, std::vector<std::string> Keys, ChargeActions &Actions);

  CopyHolder m_Self;
  BackupHook m_Backup;
  ChargeSettings m_Settings;
  std::map<std::string, Own> m_Own;
  std::map<std::string, Held> m_Held;
  std::set<std::string> m_ToCopy;          ///< Own charges without a copy, made or under way.
  std::map<std::uint64_t, Batch> m_Copies; ///< HoldCharges under way.
  std::map<std::uint64_t, Batch> m_Drops;  ///< DropCharges that are not answered.
  std::map<std::uint64_t, std::vector<std::string>> m_Flush; ///< The commit under way.
  std::map<InstanceId, TimePoint> m_Unanswered;              ///< Daemons that did not answer lately.
  std::optional<TimePoint> m_NextFlush;
  bool m_StoreUp = true;
  std::uint64_t m_NextToken = 1;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_CHARGE_LEDGER_H
