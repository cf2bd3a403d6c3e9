#ifndef BULRUSHPITCH_RPC_SRC_PACKED_MESSAGE_H
#define BULRUSHPITCH_RPC_SRC_PACKED_MESSAGE_H

/// @file
/// @brief Compressed Cap'n Proto messages that are carried as bytes inside others, and helpers for their
/// fields.

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/core/strong.h"

#include <capnp/message.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch::detail {

inline capnp::Text::Reader toText(const std::string &Value) { return {Value.c_str(), Value.size()}; }
template <typename Tag> capnp::Text::Reader toText(const Strong<Tag, std::string> &Value) {
  return toText(Value.value());
}

inline std::string fromText(capnp::Text::Reader Value) { return {Value.cStr(), Value.size()}; }

inline unsigned listSize(std::size_t Size) { return static_cast<unsigned>(Size); }

template <typename Value>
void textsToWire(const std::vector<Value> &From, capnp::List<capnp::Text>::Builder To) {
  for (unsigned Index = 0; Index < To.size(); ++Index)
    To.set(Index, toText(From[Index]));
}

template <typename Value> std::vector<Value> textsFromWire(capnp::List<capnp::Text>::Reader From) {
  std::vector<Value> To;
  To.reserve(From.size());
  for (capnp::Text::Reader Text : From)
    To.emplace_back(fromText(Text));
  return To;
}

/// @brief Compresses a message.
std::string packMessage(capnp::MessageBuilder &Message);
/// @brief Reads a message that packMessage() has made.
/// @param Step what is being decoded, for the error
/// @param Read reads the message; may throw kj::Exception
/// @return error 702 if the bytes are malformed, or expand to more than any table
Expected<Done> unpackMessage(std::string_view Packed, const std::string &Step,
                             const std::function<void(capnp::MessageReader &)> &Read);

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_RPC_SRC_PACKED_MESSAGE_H
