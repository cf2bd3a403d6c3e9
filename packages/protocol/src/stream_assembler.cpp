#include "bulrushpitch/protocol/stream_assembler.h"

#include <utility>

namespace bulrushpitch {

StreamAssembler::StreamAssembler(AttemptId Attempt, std::uint64_t Next)
    : m_Attempt(std::move(Attempt)), m_Next(Next) {}

std::vector<StreamFrame> StreamAssembler::frame(StreamFrame Arrived) {
  std::vector<StreamFrame> Ready;
  const std::uint64_t Offset = Arrived.m_Offset;
  if (m_Complete || Arrived.m_Attempt != m_Attempt || Offset < m_Next ||
      !m_Waiting.emplace(Offset, std::move(Arrived)).second) {
    ++m_Dropped;
    return Ready;
  }
  while (!m_Complete && !m_Waiting.empty() && m_Waiting.begin()->first == m_Next) {
    m_Complete = m_Waiting.begin()->second.m_End;
    m_Next += m_Complete ? 0 : 1;
    Ready.push_back(std::move(m_Waiting.begin()->second));
    m_Waiting.erase(m_Waiting.begin());
  }
  return Ready;
}

void StreamAssembler::switchTo(AttemptId Attempt) {
  cancel();
  m_Attempt = std::move(Attempt);
}

void StreamAssembler::cancel() {
  m_Attempt.reset();
  m_Dropped += m_Waiting.size();
  m_Waiting.clear();
}

} // namespace bulrushpitch
