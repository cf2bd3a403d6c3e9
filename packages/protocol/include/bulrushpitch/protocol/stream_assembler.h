#ifndef BULRUSHPITCH_PROTOCOL_STREAM_ASSEMBLER_H
#define BULRUSHPITCH_PROTOCOL_STREAM_ASSEMBLER_H

#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief One frame of an engine's stream: text from a byte offset on, or the end at the answer's length.
struct StreamFrame {
  AttemptId m_Attempt;
  std::uint64_t m_Offset = 0; ///< In bytes.
  std::string m_Text;
  bool m_End = false; ///< The last frame; it has no text.
  bool operator==(const StreamFrame &) const = default;
};

/// @brief Puts the frames of one answer into order, each byte exactly once (design 3.6).
///
/// Only frames of the current attempt count. When another attempt takes over, frames of the earlier one that
/// are still under way, and those that wait for a gap to be filled, are dropped.
class StreamAssembler {
public:
  /// @param Next the first offset that the caller does not have yet
  explicit StreamAssembler(AttemptId Attempt, std::uint64_t Next = 0);

  /// @return the frames that can be delivered now, in order
  std::vector<StreamFrame> frame(StreamFrame Arrived);
  /// @brief Cancels the current attempt; @p Attempt goes on from next().
  void switchTo(AttemptId Attempt);
  /// @brief Cancels the current attempt without another one.
  void cancel();

  /// @return the next byte offset to be delivered
  std::uint64_t next() const { return m_Next; }
  /// @return whether the end was delivered
  bool complete() const { return m_Complete; }
  /// @return frames that wait for an earlier offset
  std::size_t buffered() const { return m_Waiting.size(); }
  /// @return frames dropped: duplicates and frames of cancelled attempts
  std::uint64_t dropped() const { return m_Dropped; }

private:
  void keep(StreamFrame Arrived);
  void deliver(StreamFrame Next, std::vector<StreamFrame> &Ready);

  std::optional<AttemptId> m_Attempt;
  std::uint64_t m_Next;
  std::map<std::uint64_t, StreamFrame> m_Waiting;
  std::uint64_t m_Dropped = 0;
  bool m_Complete = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_STREAM_ASSEMBLER_H
