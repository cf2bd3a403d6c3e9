#ifndef BULRUSHPITCH_CONFIG_FAULT_H
#define BULRUSHPITCH_CONFIG_FAULT_H

#include "bulrushpitch/core/error.h"

#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief One fault in a settings file or in a set of documents.
struct Fault {
  ErrorCode m_Code = ErrorCode::BadFieldValue; ///< Of family 3xx.
  std::string m_File;                          ///< Empty if the input is not a file.
  unsigned m_Line = 0;                         ///< The first line is 1; 0 if unknown.
  std::string m_Kind;                          ///< Kind of the object, for example "team".
  std::string m_Name;                          ///< Name of the object.
  std::string m_Field;                         ///< Path of the field, for example "steps.0.version".
  std::string m_Message;                       ///< What is wrong.
  std::string m_Hint;                          ///< What may have been meant; empty if nothing is close.

  /// @return "file:line: [number] kind name, field: message (hint)"
  std::string toString() const;
  bool operator==(const Fault &) const = default;
};

/// @brief Sums up faults in one error, which carries the first fault's number.
/// @param Faults at least one fault
/// @param Step the step that failed
Error toError(const std::vector<Fault> &Faults, std::string Step);

/// @brief Finds the known name that a misspelt one most likely stands for.
/// @param Name the misspelt name
/// @param Known the names to choose from
/// @return the nearest name by edit distance; empty if none is within a third of the length
/// @complexity O(n m²) for n names of length m
std::string nearestName(const std::string &Name, const std::vector<std::string> &Known);

/// @brief One row of a field table: what may be written in a document or a settings file.
struct FieldInfo {
  std::string m_Path;    ///< For example "steps[].acceptAt".
  std::string m_Type;    ///< For example "duration".
  std::string m_Range;   ///< For example "0 to 1"; empty if any value of the type is allowed.
  std::string m_Default; ///< Empty if there is none.
  bool m_Required = false;
  bool operator==(const FieldInfo &) const = default;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CONFIG_FAULT_H
