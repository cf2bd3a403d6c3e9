#ifndef BULRUSHPITCH_CONFIG_DOCUMENTS_H
#define BULRUSHPITCH_CONFIG_DOCUMENTS_H

#include "bulrushpitch/config/fault.h"
#include "bulrushpitch/config/objects.h"

#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief One file of a set, with any number of YAML documents in it.
struct DocumentFile {
  std::string m_File; ///< Name for faults; it is not opened.
  std::string m_Text;
  bool operator==(const DocumentFile &) const = default;
};

/// @brief A set of documents as read, and every fault in it.
struct ReadOutcome {
  Configuration m_Configuration; ///< Whole and consistent if there are no faults.
  std::vector<Fault> m_Faults;   ///< In the order of files and lines.
};

/// @brief Reads a whole set of documents and checks it.
/// @param Files all files of the set
/// @param Base the configuration that the set replaces, or null. A reference to an object that only @p Base
///   has is reported as a deletion of an object that is still referred to.
/// @return the configuration, with revision 0 and without lifted restrictions, and all faults
/// @complexity linear in the size of the set, but for the hints of faults
///
/// @code
/// ReadOutcome Read = readDocuments({{"teams.yaml", Text}}, nullptr);
/// if (Read.m_Faults.empty())
///   use(Read.m_Configuration);
/// @endcode
ReadOutcome readDocuments(const std::vector<DocumentFile> &Files, const Configuration *Base);

/// @brief Checks what a single field cannot show: references, addresses used twice, shares of a rollout.
/// @return all faults, without file and line
std::vector<Fault> checkConfiguration(const Configuration &Checked, const Configuration *Base);

/// @brief Writes a configuration as a set of documents, one file a kind.
/// @return files from which readDocuments() makes the same objects; revision and lifted ids are left out
std::vector<DocumentFile> writeDocuments(const Configuration &Value);

/// @return the kinds of documents: "team", "model" and so on
std::vector<std::string> objectKinds();

/// @param Kind one of objectKinds()
/// @return all fields that a document of this kind may have, in their order
std::vector<FieldInfo> objectFields(const std::string &Kind);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CONFIG_DOCUMENTS_H
