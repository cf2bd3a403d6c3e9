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
/// @return the table key of the publish row
std::string publishKey(const PublishId &Id);
/// @return the name of the object that holds a revision's snapshot
std::string snapshotName(ConfigRevision Revision, const PublishId &Id);

/// @brief The row `config/head`.
struct HeadRow {
  ConfigRevision m_Revision;
  PublishId m_Publish;
  std::string m_Snapshot; ///< Object name.
  InstanceId m_Publisher; ///< The instance to which others confirm the revision.
  std::map<std::string, ConfigRevision>
      m_ObjectRevisions; ///< "kind/name" of an object to the revision that last changed it.
  bool operator==(const HeadRow &) const = default;
};
std::string encodeHead(const HeadRow &Head);
/// @return the row, or error 603 if it is malformed
Expected<HeadRow> decodeHead(const std::string &Value);

/// @brief An operator's request to publish a configuration.
struct PublicationRequest {
  PublishId m_Id;
  ConfigRevision m_Base;                     ///< Revision from which the configuration was edited.
  std::string m_Snapshot;                    ///< Encoded configuration of revision m_Base + 1.
  std::vector<std::string> m_ChangedObjects; ///< "kind/name" of the objects that differ from the base.
  std::vector<TableWrite> m_ExtraWrites{}; ///< Written in the same transaction, for example the history row.
};

enum class PublishStage : std::uint8_t {
  Checking,   ///< Reading the head row and the publish row.
  Storing,    ///< Writing the snapshot object.
  Committing, ///< Writing the head row and the publish row.
  SingleCopy, ///< Written; no instance of another failure domain has confirmed it yet.
  Published,  ///< Written and confirmed in another failure domain.
  InForce,    ///< Confirmed by every live instance.
  Conflict,   ///< Another publication was written first. Final.
};
/// @return the name of the stage, as shown to operators
const char *nameOf(PublishStage Value);

/// @brief The known state of a publication, as reported to the operator.
struct PublishStatus {
  PublishStage m_Stage = PublishStage::Checking;
  ConfigRevision
      m_Revision; ///< Revision of this publication once written; after a conflict, that of the head row.
  Ran m_Written = Ran::No;                       ///< Whether the head row is known to have been written.
  std::vector<InstanceId> m_Unconfirmed;         ///< Live instances that have not confirmed.
  std::vector<std::string> m_ConflictingObjects; ///< Objects that changed after the base.
  std::optional<Error> m_LastError;              ///< Error of the step that is being retried.
};

/// @brief A live instance and the revision that it last confirmed.
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
/// @brief Action: the head row is written; install the revision on this instance and push it to peers.
struct InstallRevision {
  ConfigRevision m_Revision;
  std::string m_Snapshot; ///< Object name; a retry that found an earlier write has the name from that write.
};
using PublicationAction = std::variant<PutObject, CommitRows, ReadRow, InstallRevision>;
using PublicationActions = std::vector<PublicationAction>;

/// @brief Runs one publication from the operator's request until it is in force.
///
/// Every write whose response is lost is followed by a new check. The check reads the head row before the
/// publish row: in the opposite order, a write of this publication that takes effect between the two reads
/// would look like another operator's.
class Publication {
public:
  /// @param Self the instance that publishes
  /// @param Domain the failure domain of @p Self
  Publication(InstanceId Self, DomainId Domain, PublicationRequest Request);
  ~Publication();
  Publication(Publication &&) noexcept;
  Publication &operator=(Publication &&) noexcept;

  /// @brief Starts the publication. Call once.
  PublicationActions start(TimePoint Now);
  PublicationActions rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome);
  PublicationActions objectPut(TimePoint Now, std::uint64_t Token, const Expected<Done> &Outcome);
  PublicationActions committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome);
  /// @brief Retries a failed step 500 ms after its failure. Call at least that often.
  PublicationActions tick(TimePoint Now);
  /// @brief Applies the confirmed revisions of the live instances, excluding this one.
  void applyConfirmedRevisions(const std::vector<ConfirmedRevision> &Live);

  PublishStatus status() const;
  /// @return whether the publication has ended (in force or conflict)
  bool finished() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_PUBLICATION_H
