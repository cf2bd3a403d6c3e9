#ifndef BULRUSHPITCH_PROTOCOL_STREAM_ASSEMBLER_H
#define BULRUSHPITCH_PROTOCOL_STREAM_ASSEMBLER_H

#include "bulrushpitch/core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief One frame of an engine's stream: text that starts at a byte offset, or the end, whose offset is the
/// length of the text.
struct StreamFrame {
  AttemptId m_Attempt;
  std::uint64_t m_Offset = 0; ///< In bytes.
  std::string m_Text;
  bool m_End = false; ///< The last frame; it has no text.
  bool operator==(const StreamFrame &) const = default;
};

/// @brief Delivers the frames of one response in order, and each byte exactly once (design 3.6).
///
/// Only frames of the current attempt are accepted. When another attempt takes over, frames of the earlier
/// one that arrive later, and those that are buffered behind a gap, are dropped.
class StreamAssembler {
public:
  /// @param Next the first offset that the caller does not have yet
  explicit StreamAssembler(AttemptId Attempt, std::uint64_t NextOffset = 0);

  /// @brief Adds a frame that has arrived.
  /// @return the frames that can be delivered now, in order
  std::vector<StreamFrame> addFrame(StreamFrame Frame);
  /// @brief Cancels the current attempt; @p Attempt continues at offset nextOffset().
  void switchAttempt(AttemptId Attempt);
  /// @brief Cancels the current attempt without a successor.
  void cancel();

  /// @return the next byte offset to be delivered
  std::uint64_t nextOffset() const { return m_NextOffset; }
  /// @return whether the end was delivered
  bool complete() const { return m_Complete; }
  /// @return number of frames that wait for an earlier offset
  std::size_t buffered() const { return m_Buffered.size(); }
  /// @return number of frames dropped: duplicates and frames of cancelled attempts
  std::uint64_t dropped() const { return m_Dropped; }

private:
  void buffer(StreamFrame Frame);
  void deliver(StreamFrame Frame, std::vector<StreamFrame> &Ready);

  std::optional<AttemptId> m_Attempt;
  std::uint64_t m_NextOffset;
  std::map<std::uint64_t, StreamFrame> m_Buffered;
  std::uint64_t m_Dropped = 0;
  bool m_Complete = false;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_PROTOCOL_STREAM_ASSEMBLER_H
