#ifndef BULRUSHPITCH_CONFIG_SNAPSHOT_H
#define BULRUSHPITCH_CONFIG_SNAPSHOT_H

#include "bulrushpitch/config/objects.h"
#include "bulrushpitch/core/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch {

/// @brief Encodes a whole configuration as JSON. Equal configurations give equal texts.
/// @complexity linear in the size of the configuration
std::string encodeSnapshot(const Configuration &Value);

/// @brief Decodes a snapshot.
/// @return the configuration; error 301 for text that is not JSON or has another format version, 302 to 304
///   for an unknown, missing or wrong field, 305 and 304 if the objects do not fit together
Result<Configuration> decodeSnapshot(std::string_view Text);

enum class ChangeKind : std::uint8_t { Added, Removed, Changed };

/// @param Value a kind of change
/// @return "added", "removed" or "changed"
const char *nameOf(ChangeKind Value);

/// @brief A field that differs between two configurations. Values are written as JSON.
struct FieldChange {
  std::string m_Field;
  std::string m_Before; ///< Empty if the field was absent.
  std::string m_After;  ///< Empty if the field is absent.
  bool operator==(const FieldChange &) const = default;
};

/// @brief An object that differs between two configurations.
struct ObjectChange {
  std::string m_Kind;
  std::string m_Name;
  ChangeKind m_Change = ChangeKind::Changed;
  std::vector<FieldChange> m_Fields; ///< Of a changed object.
  bool operator==(const ObjectChange &) const = default;
};

/// @brief Lists the objects that differ. Revision and lifted ids are not compared.
/// @return the changes by kind and name; empty if the objects are equal
std::vector<ObjectChange> diffConfigurations(const Configuration &Before, const Configuration &After);

/// @brief Encodes what changes from one configuration to another.
/// @complexity linear in the size of both; the text has only the changed objects
std::string encodeDelta(const Configuration &Base, const Configuration &Target);

/// @brief Applies a delta.
/// @return the target of encodeDelta(); error 308 if the delta starts at another revision than @p Base; 301
/// to
///   305 as for decodeSnapshot()
Result<Configuration> applyDelta(const Configuration &Base, std::string_view Delta);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CONFIG_SNAPSHOT_H
