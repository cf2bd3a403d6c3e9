#include "bulrushpitch/standin/answers.h"

#include "bulrushpitch/core/hash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace bulrushpitch::standin {

namespace {

constexpr std::size_t BlockBytes = 256;
constexpr std::size_t MaxAnswerTokens = 100'000;
constexpr std::array<std::string_view, 16> Words{"the ",  "amp ",   "charge ", "is ",   "ready ", "for ",
                                                 "your ", "next ",  "set ",    "tile ", "maple ", "stain ",
                                                 "font ", "match ", "of ",     "wood "};

template <typename T> std::optional<T> parseNumber(std::string_view Text, int Base = 10) {
  T Value = 0;
  const std::from_chars_result Parsed = std::from_chars(Text.data(), Text.data() + Text.size(), Value, Base);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

} // namespace

std::string hexText(std::uint64_t Value) {
  std::array<char, 17> Digits{};
  std::snprintf(Digits.data(), Digits.size(), "%016llx", static_cast<unsigned long long>(Value));
  return Digits.data();
}

std::optional<std::uint64_t> parseHex(std::string_view Text) {
  if (Text.size() != 16 || Text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
    return std::nullopt;
  return parseNumber<std::uint64_t>(Text, 16);
}

std::string promptText(const nlohmann::json &Messages) {
  std::string Text;
  for (const nlohmann::json &Message : Messages)
    Text += Message.at("role").get<std::string>() + ":" + Message.at("content").get<std::string>() + "\n";
  return Text;
}

std::vector<std::uint64_t> prefixHashes(std::string_view Prompt) {
  std::vector<std::uint64_t> Hashes;
  std::uint64_t Last = 0;
  for (std::size_t Start = 0; Start + BlockBytes <= Prompt.size(); Start += BlockBytes) {
    Last = mixHash(Last, stableHash(Prompt.substr(Start, BlockBytes)));
    Hashes.push_back(Last);
  }
  return Hashes;
}

std::size_t answerLength(const std::string &Prompt, const std::string &LastMessage) {
  const std::size_t Start = LastMessage.find("len=");
  if (Start != std::string::npos) {
    const std::size_t End = LastMessage.find_first_not_of("0123456789", Start + 4);
    const std::optional<std::size_t> Asked = parseNumber<std::size_t>(
        std::string_view(LastMessage).substr(Start + 4, End == std::string::npos ? End : End - Start - 4));
    if (Asked && *Asked > 0)
      return std::min(*Asked, MaxAnswerTokens);
  }
  return 16 + stableHash(Prompt) % 64;
}

TokenText makeAnswer(const AnswerMark &Mark) {
  std::array<char, 16> Quality{};
  std::snprintf(Quality.data(), Quality.size(), "%.3f", Mark.m_Quality);
  TokenText Answer;
  Answer.m_Text = "[" + Mark.m_Version + "|" + hexText(Mark.m_PromptHash) + "|" + Quality.data() + "|" +
                  std::to_string(Mark.m_Tokens) + "] ";
  Answer.m_Ends.push_back(Answer.m_Text.size());
  const std::uint64_t Seed = mixHash(Mark.m_PromptHash, stableHash(Mark.m_Version));
  for (std::size_t Index = 1; Index < Mark.m_Tokens; ++Index) {
    Answer.m_Text += Words.at(mixHash(Seed, Index) % Words.size());
    Answer.m_Ends.push_back(Answer.m_Text.size());
  }
  return Answer;
}

std::optional<AnswerMark> readMark(std::string_view Answer) {
  const std::size_t End = Answer.find("] ");
  if (End == std::string_view::npos || Answer.front() != '[')
    return std::nullopt;
  std::vector<std::string_view> Parts;
  for (std::size_t Start = 1; Start <= End;) {
    const std::size_t Next = std::min(Answer.find('|', Start), End);
    Parts.push_back(Answer.substr(Start, Next - Start));
    Start = Next + 1;
  }
  if (Parts.size() != 4)
    return std::nullopt;
  const std::optional<std::uint64_t> Hash = parseHex(Parts[1]);
  double Quality = 0.0;
  const std::from_chars_result Parsed =
      std::from_chars(Parts[2].data(), Parts[2].data() + Parts[2].size(), Quality);
  const std::optional<std::size_t> Tokens = parseNumber<std::size_t>(Parts[3]);
  if (!Hash || Parsed.ec != std::errc() || !Tokens || *Tokens == 0 || *Tokens > MaxAnswerTokens)
    return std::nullopt;
  return AnswerMark{std::string(Parts[0]), *Hash, Quality, *Tokens};
}

double rateAnswer(const std::string &Prompt, std::string_view Answer) {
  const std::optional<AnswerMark> Mark = readMark(Answer);
  const std::uint64_t Hash = stableHash(Prompt);
  if (!Mark || Mark->m_PromptHash != Hash)
    return 0.0;
  const double Ease = static_cast<double>(mixHash(Hash, 1) % 2001) / 10000.0 - 0.1;
  return std::clamp(Mark->m_Quality + Ease, 0.0, 1.0);
}

std::string checkAnswer(const std::string &Prompt, std::string_view Answer, std::size_t MaxTokens) {
  const std::optional<AnswerMark> Mark = readMark(Answer);
  if (!Mark)
    return "the answer does not start with a mark";
  if (Mark->m_PromptHash != stableHash(Prompt))
    return "the answer belongs to another prompt";
  const TokenText Whole = makeAnswer(*Mark);
  const std::size_t Length = Whole.m_Ends[std::min(MaxTokens, Whole.m_Ends.size()) - 1];
  if (Answer != std::string_view(Whole.m_Text).substr(0, Length))
    return "the answer has " + std::to_string(Answer.size()) + " bytes and differs from the " +
           std::to_string(Length) + " that the engine generates";
  return {};
}

} // namespace bulrushpitch::standin
