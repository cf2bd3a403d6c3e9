#ifndef BULRUSHPITCH_CONFIG_DETAIL_YAML_TREE_H
#define BULRUSHPITCH_CONFIG_DETAIL_YAML_TREE_H

#include "bulrushpitch/config/fault.h"
#include "detail/codec.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch::detail {

/// @brief One YAML document as JSON, with the line of each value.
struct YamlDocument {
  Json m_Value;
  std::map<std::string, unsigned> m_Lines; ///< By path, for example "steps.0.version"; "" is the document.

  /// @return the line of the value, or of the nearest value around it
  unsigned lineOf(std::string Path) const;
};

/// @brief The documents before the first syntax error, and the faults.
struct YamlOutcome {
  std::vector<YamlDocument> m_Documents;
  std::vector<Fault> m_Faults; ///< All with number 301.
};

/// @brief Reads YAML documents. Plain scalars become JSON numbers and booleans where they look like them.
///
/// Aliases and keys that occur twice are refused: an alias could expand a small file to any size, and of two
/// equal keys one would be lost.
YamlOutcome readYaml(std::string_view Text, const std::string &File);

/// @return the faults with the file and the line of their fields
std::vector<Fault> locateFaults(const FaultSink &Sink, const YamlDocument &Document, const std::string &File);

/// @return the fault of a file that does not hold one document
Fault documentCountFault(const std::string &File, std::size_t Documents);

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_CONFIG_DETAIL_YAML_TREE_H
