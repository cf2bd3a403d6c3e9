#include "bulrushpitch/protocol/stream_assembler.h"

#include <utility>

namespace bulrushpitch {

StreamAssembler::StreamAssembler(AttemptId Attempt, std::uint64_t NextOffset)
    : m_Attempt(std::move(Attempt)), m_NextOffset(NextOffset) {}

std::vector<StreamFrame> StreamAssembler::addFrame(StreamFrame Frame) {
  std::vector<StreamFrame> Ready;
  const std::uint64_t End = Frame.m_Offset + Frame.m_Text.size();
  if (m_Complete || Frame.m_Attempt != m_Attempt || (End <= m_NextOffset && !Frame.m_End)) {
    ++m_Dropped;
    return Ready;
  }
  buffer(std::move(Frame));
  while (!m_Complete && !m_Buffered.empty() && m_Buffered.begin()->first <= m_NextOffset) {
    StreamFrame NextFrame = std::move(m_Buffered.begin()->second);
    m_Buffered.erase(m_Buffered.begin());
    deliver(std::move(NextFrame), Ready);
  }
  return Ready;
}

void StreamAssembler::buffer(StreamFrame Frame) {
  const auto Existing = m_Buffered.find(Frame.m_Offset);
  if (Existing == m_Buffered.end()) {
    m_Buffered.emplace(Frame.m_Offset, std::move(Frame));
    return;
  }
  ++m_Dropped;
  if (Frame.m_Text.size() > Existing->second.m_Text.size())
    Existing->second = std::move(Frame);
}

void StreamAssembler::deliver(StreamFrame Frame, std::vector<StreamFrame> &Ready) {
  const std::uint64_t DeliveredBytes = m_NextOffset - Frame.m_Offset;
  if (Frame.m_End ? DeliveredBytes != 0 : DeliveredBytes >= Frame.m_Text.size()) {
    ++m_Dropped;
    return;
  }
  // When an engine resends buffered text, its frames may be larger than the first time, so frames can
  // overlap.
  Frame.m_Text.erase(0, DeliveredBytes);
  Frame.m_Offset = m_NextOffset;
  m_NextOffset += Frame.m_Text.size();
  m_Complete = Frame.m_End;
  Ready.push_back(std::move(Frame));
}

void StreamAssembler::switchAttempt(AttemptId Attempt) {
  cancel();
  m_Attempt = std::move(Attempt);
}

void StreamAssembler::cancel() {
  m_Attempt.reset();
  m_Dropped += m_Buffered.size();
  m_Buffered.clear();
}

} // namespace bulrushpitch
