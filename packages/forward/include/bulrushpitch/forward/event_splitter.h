#ifndef BULRUSHPITCH_FORWARD_EVENT_SPLITTER_H
#define BULRUSHPITCH_FORWARD_EVENT_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushpitch {

/// @brief One event of an event stream, including the empty line that ends it.
struct StreamEvent {
  std::string m_Bytes;
  std::optional<std::uint64_t> m_Id;
};

/// @brief Splits the bytes of an event stream into complete events.
///
/// If the stream breaks off in the middle of an event, the incomplete event stays in the buffer and is not
/// forwarded to the caller.
class EventSplitter {
public:
  /// @brief Appends bytes of the stream.
  void feed(std::string_view Chunk) { m_Pending += Chunk; }
  /// @brief Removes the next complete event from the buffer.
  /// @return nothing if there is no complete event
  /// @complexity linear in the number of buffered bytes
  std::optional<StreamEvent> next();
  /// @return whether the buffer holds any bytes; once next() has returned nothing, they are an incomplete
  /// event
  bool hasPartial() const { return !m_Pending.empty(); }
  /// @return number of buffered bytes
  std::size_t pendingBytes() const { return m_Pending.size(); }

private:
  std::string m_Pending;
};

/// @brief Checks that the event ids of a stream are consecutive, across all attempts.
class EventSequence {
public:
  enum class Verdict : std::uint8_t {
    Forward,  ///< The next event; to be forwarded to the caller.
    Repeated, ///< Already forwarded; to be skipped.
    Gap       ///< At least one event is missing before it.
  };

  /// @param After id of the last event that the caller already has
  explicit EventSequence(std::optional<std::uint64_t> After = std::nullopt) : m_Last(After) {}

  /// @brief Classifies an event; one to be forwarded advances the sequence. An event without an id belongs to
  /// the preceding event of the same attempt.
  Verdict check(const StreamEvent &Event);
  /// @brief Called before the events of another attempt. If some have been forwarded, its first one must have
  /// an id: what precedes it is not part of the stream.
  void beginAttempt();
  /// @return the id of the last forwarded event
  std::optional<std::uint64_t> last() const { return m_Last; }

private:
  std::optional<std::uint64_t> m_Last;
  bool m_Skipping = false;   ///< The last event with an id was a repeated one.
  bool m_RequiresId = false; ///< The next event must have an id.
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_FORWARD_EVENT_SPLITTER_H
