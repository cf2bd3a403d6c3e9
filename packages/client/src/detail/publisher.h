#ifndef BULRUSHPITCH_CLIENT_DETAIL_PUBLISHER_H
#define BULRUSHPITCH_CLIENT_DETAIL_PUBLISHER_H

#include "detail/admin_client.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch::detail {

/// @brief A change of a few fields, made to whatever configuration is published now.
struct Edit {
  std::string m_What; ///< For progress lines, for example "take out west-a".
  /// Changes the configuration; reports a target that does not exist.
  std::function<std::optional<Error>(Configuration &)> m_Apply;
  std::vector<RestrictionId> m_Lifted;
};

/// @brief Publishes, follows the revision to all instances and prints the result.
class Publisher {
public:
  explicit Publisher(const AdminClient &Client) : m_Client(Client) {}

  /// @brief Publishes a set of documents.
  ExitCode publishSet(PublishRequest Request) const;
  /// @brief Publishes an edit. If another publication comes first, the edit is made again on top of it.
  ExitCode publishEdit(const Edit &Change) const;
  /// @brief Sends a restriction to up to three daemons, then publishes the same change.
  ExitCode restrictAndPublish(RestrictionKind Kind, const std::string &Target) const;
  /// @brief Lifts all restrictions on a target and publishes the edit.
  ExitCode liftAndPublish(RestrictionKind Kind, const std::string &Target, Edit Change) const;

  /// @return a new id with this prefix
  std::string makeId(const char *Prefix) const;
  /// @brief Prints an error.
  /// @return its exit code
  ExitCode report(const Error &Failure) const;

private:
  /// What became of a published revision.
  struct Progress {
    bool m_InForce = false;
    bool m_SecondCopy = false;
    std::vector<InstanceId> m_Confirmed;
    std::vector<InstanceId> m_Missing;
  };

  PublishRequest requestFor(const Configuration &Base, const Edit &Change, const Configuration &Target) const;
  ExitCode finish(const PublishReply &Reply, const PublishId &Id) const;
  Progress follow(const PublishReply &Reply) const;
  void showProgress(const Progress &Before, const Progress &Now, ConfigRevision Revision) const;
  void printResult(const PublishReply &Reply, const PublishId &Id, const Progress &Reached) const;
  void compareWithWinner(const PublishRequest &Request) const;
  ExitCode printRefusal(const PublishReply &Reply) const;
  std::size_t restrictDaemons(const Restriction &Applied) const;
  /// @return whether one of the daemons given says that it reaches the store
  bool storeReachable() const;
  std::vector<RestrictionId> findRestrictions(RestrictionKind Kind, const std::string &Target) const;

  const AdminClient &m_Client;
};

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_CLIENT_DETAIL_PUBLISHER_H
