#ifndef BULRUSHPITCH_PROTOCOL_PUBLICATION_H
#define BULRUSHPITCH_PROTOCOL_PUBLICATION_H

#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/ids.h"
#include "bulrushpitch/protocol/table.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bulrushpitch {

/// @brief Keys of the rows that a publication writes.
inline constexpr const char *HeadKey = "config/head";
std::string publishKey(const PublishId &Id);
/// @return the name of the object that holds a revision's snapshot
std::string snapshotName(ConfigRevision Revision, const PublishId &Id);

/// @brief The row `config/head`.
struct HeadRow {
  ConfigRevision m_Revision;
  PublishId m_Publish;
  std::string m_Snapshot; ///< Object name.
  InstanceId m_Publisher; ///< Instances confirm the revision to it.
  std::map<std::string, ConfigRevision>
      m_ObjectRevisions; ///< "kind/name" to the revision that last changed it.
  bool operator==(const HeadRow &) const = default;
};
std::string encodeHead(const HeadRow &Head);
/// @return the row, or error 603 if it is malformed
Expected<HeadRow> decodeHead(const std::string &Value);

/// @brief One operator's publication.
struct PublicationRequest {
  PublishId m_Id;
  ConfigRevision m_Base;
  std::string m_Snapshot;                  ///< Encoded configuration of revision m_Base + 1.
  std::vector<std::string> m_Changed;      ///< "kind/name" of the objects that differ from the base.
  std::vector<TableWrite> m_ExtraWrites{}; ///< Written in the same transaction, for example the history row.
};

enum class PublishStage : std::uint8_t {
  Checking,   ///< Reading the head row and the publish row.
  Storing,    ///< Writing the snapshot object.
  Committing, ///< Writing the head row and the publish row.
  SingleCopy, ///< Written; no instance of another domain has confirmed it yet.
  Published,  ///< Written and confirmed in another domain.
  InForce,    ///< Confirmed by every live instance.
  Conflict,   ///< Another publication was first. Final.
};
const char *nameOf(PublishStage Value);

/// @brief What is known of a publication, fit to be told to the operator.
struct PublishStatus {
  PublishStage m_Stage = PublishStage::Checking;
  ConfigRevision m_Revision;              ///< Of this publication once written, or of the winner.
  Ran m_Written = Ran::No;                ///< Whether the head row is known to have been written.
  std::vector<InstanceId> m_NotInForce;   ///< Live instances that have not confirmed.
  std::vector<std::string> m_Conflicting; ///< Objects that changed after the base.
  std::optional<Error> m_LastError;       ///< Of the step that is being repeated.
};

/// @brief A live instance and the revision it last confirmed.
struct ConfirmedRevision {
  InstanceId m_Instance;
  DomainId m_Domain;
  ConfigRevision m_Revision;
};

/// @brief Action: write an object under a name.
struct PutObject {
  std::uint64_t m_Token = 0;
  std::string m_Name;
  std::string m_Content;
};
/// @brief Action: the head row is written; hold the revision here and push it to peers.
struct InstallRevision {
  ConfigRevision m_Revision;
  std::string m_Snapshot; ///< Object name; differs from this request's if a retry found an earlier write.
};
using PublicationAction = std::variant<PutObject, CommitRows, ReadRow, InstallRevision>;
using PublicationActions = std::vector<PublicationAction>;

/// @brief Carries one publication from the operator's request to "in force".
///
/// Every write whose answer is lost is followed by a fresh check. The check reads the head row before the
/// publish row: in the other order a write that lands between the two reads looks like another operator's.
class Publication {
public:
  /// @param Self the instance that publishes
  /// @param Domain the failure domain of @p Self
  Publication(InstanceId Self, DomainId Domain, PublicationRequest Request);
  ~Publication();
  Publication(Publication &&) noexcept;
  Publication &operator=(Publication &&) noexcept;

  PublicationActions start(TimePoint Now);
  PublicationActions rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome);
  PublicationActions objectPut(TimePoint Now, std::uint64_t Token, const Expected<Done> &Outcome);
  PublicationActions committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome);
  /// @brief Repeats a step that failed, at most each 500 ms. To be called at least that often.
  PublicationActions tick(TimePoint Now);
  /// @brief Takes the live instances, without this one, and what each confirmed.
  void confirmed(const std::vector<ConfirmedRevision> &Live);

  PublishStatus status() const;
  /// @return whether nothing is left to do (in force, or lost to another publication)
  bool finished() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_PUBLICATION_H
