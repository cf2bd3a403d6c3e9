#include "stream.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace bulrushpitch::standin {

using nlohmann::json;

bool Stream::splitsCharacter(std::size_t Offset) const {
  return Offset < m_Text.m_Text.size() &&
         (static_cast<unsigned char>(m_Text.m_Text[Offset]) & 0xC0U) == 0x80U;
}

bool Stream::prepareText(const AnswerMark &Mark, const std::string &Before) {
  m_Text = makeAnswer(Mark);
  if (Before.empty())
    return true;
  const auto End = std::find(m_Text.m_Ends.begin(), m_Text.m_Ends.end(), Before.size());
  if (End == m_Text.m_Ends.end() || !m_Text.m_Text.starts_with(Before))
    return false;
  m_Start = static_cast<std::size_t>(End - m_Text.m_Ends.begin()) + 1;
  m_Produced = m_Start;
  return true;
}

std::string Stream::firstFrame() const {
  const json Frame{{"stream", m_Id},
                   {"attempt", m_Audit->m_Attempt},
                   {"startId", m_StartId},
                   {"promptTokens", m_PromptTokens},
                   {"cachedTokens", m_CachedTokens}};
  return Frame.dump() + "\n";
}

std::string Stream::textFrame(std::size_t Offset) const {
  const std::vector<std::size_t> &Ends = m_Text.m_Ends;
  const auto First = std::upper_bound(Ends.begin(), Ends.end(), Offset);
  const std::size_t Tokens = m_Produced - static_cast<std::size_t>(First - Ends.begin());
  const json Frame{{"offset", Offset},
                   {"text", m_Text.m_Text.substr(Offset, producedBytes() - Offset)},
                   {"tokens", Tokens}};
  return Frame.dump() + "\n";
}

std::string Stream::lastFrame() const {
  const json Frame{{"offset", producedBytes()},
                   {"done", true},
                   {"completionTokens", completionTokens()},
                   {"finishReason", m_Audit->m_FinishReason}};
  return Frame.dump() + "\n";
}

} // namespace bulrushpitch::standin
