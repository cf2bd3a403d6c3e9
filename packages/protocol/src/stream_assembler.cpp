#include "bulrushpitch/protocol/stream_assembler.h"

#include <utility>

namespace bulrushpitch {

StreamAssembler::StreamAssembler(AttemptId Attempt, std::uint64_t Next)
    : m_Attempt(std::move(Attempt)), m_Next(Next) {}

std::vector<StreamFrame> StreamAssembler::frame(StreamFrame Arrived) {
  std::vector<StreamFrame> Ready;
  const std::uint64_t End = Arrived.m_Offset + Arrived.m_Text.size();
  if (m_Complete || Arrived.m_Attempt != m_Attempt || (End <= m_Next && !Arrived.m_End)) {
    ++m_Dropped;
    return Ready;
  }
  keep(std::move(Arrived));
  while (!m_Complete && !m_Waiting.empty() && m_Waiting.begin()->first <= m_Next) {
    StreamFrame Next = std::move(m_Waiting.begin()->second);
    m_Waiting.erase(m_Waiting.begin());
    deliver(std::move(Next), Ready);
  }
  return Ready;
}

void StreamAssembler::keep(StreamFrame Arrived) {
  const auto Place = m_Waiting.find(Arrived.m_Offset);
  if (Place == m_Waiting.end()) {
    m_Waiting.emplace(Arrived.m_Offset, std::move(Arrived));
    return;
  }
  ++m_Dropped;
  if (Arrived.m_Text.size() > Place->second.m_Text.size())
    Place->second = std::move(Arrived);
}

void StreamAssembler::deliver(StreamFrame Next, std::vector<StreamFrame> &Ready) {
  const std::uint64_t Known = m_Next - Next.m_Offset;
  if (Next.m_End ? Known != 0 : Known >= Next.m_Text.size()) {
    ++m_Dropped;
    return;
  }
  // An engine may send text from its memory in larger frames than it did first, so frames can overlap.
  Next.m_Text.erase(0, Known);
  Next.m_Offset = m_Next;
  m_Next += Next.m_Text.size();
  m_Complete = Next.m_End;
  Ready.push_back(std::move(Next));
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
