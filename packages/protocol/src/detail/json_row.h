#ifndef BULRUSHPITCH_PROTOCOL_DETAIL_JSON_ROW_H
#define BULRUSHPITCH_PROTOCOL_DETAIL_JSON_ROW_H

#include "bulrushpitch/core/expected.h"

#include <nlohmann/json.hpp>
#include <string>

namespace bulrushpitch::detail {

/// @brief Decodes a stored row.
/// @param RowKind the kind of row, for the error message
/// @param Convert converts the parsed JSON to the row; may throw nlohmann::json::exception
/// @return the row, or error 603
template <typename Function>
auto decodeRow(const std::string &Value, const char *RowKind, Function &&Convert)
    -> Expected<decltype(Convert(nlohmann::json()))> {
  try {
    return Convert(nlohmann::json::parse(Value));
  } catch (const nlohmann::json::exception &Failure) {
    return Error{ErrorCode::PlatformProtocol, std::string("decode ") + RowKind, "table service", Ran::Unknown,
                 Failure.what()};
  }
}

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_PROTOCOL_DETAIL_JSON_ROW_H
