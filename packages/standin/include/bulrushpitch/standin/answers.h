#ifndef BULRUSHPITCH_STANDIN_ANSWERS_H
#define BULRUSHPITCH_STANDIN_ANSWERS_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushpitch::standin {

/// @brief The first token of a stand-in engine's answer: whose answer to what it is.
struct AnswerMark {
  std::string m_Version;
  std::uint64_t m_PromptHash = 0;
  double m_Quality = 0.0;   ///< Of the version when the answer was started.
  std::size_t m_Tokens = 0; ///< Of the whole answer, the mark included.
};

/// @brief An answer cut into tokens.
struct TokenText {
  std::string m_Text;
  std::vector<std::size_t> m_Ends; ///< For each token, the offset behind its last byte.
};

/// @return the messages as one text: "<role>:<content>\n" for each
/// @throw nlohmann::json::exception if a message is malformed
std::string promptText(const nlohmann::json &Messages);
/// @return hashes of the prompt's growing prefixes, one for each whole block of 256 bytes
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);
/// @return "len=<n>" in the last message, else 16 to 79 by the prompt
std::size_t answerLength(const std::string &Prompt, const std::string &LastMessage);
/// @brief Makes the whole answer that a mark stands for.
TokenText makeAnswer(const AnswerMark &Mark);
/// @return the mark at the start of an answer, if it is whole and well formed
std::optional<AnswerMark> readMark(std::string_view Answer);
/// @brief Rates an answer.
/// @return the mark's quality, plus a value between -0.1 and 0.1 that follows from the prompt, within 0 to 1;
/// 0 for an answer to another prompt
double rateAnswer(const std::string &Prompt, std::string_view Answer);
/// @brief Checks that an answer is the right one for its prompt.
/// @param MaxTokens at which a longer answer ends
/// @return what is wrong; empty if nothing is
std::string checkAnswer(const std::string &Prompt, std::string_view Answer, std::size_t MaxTokens);

/// @return 16 lower-case hexadecimal digits
std::string hexText(std::uint64_t Value);
/// @return nothing unless the text is 16 lower-case hexadecimal digits
std::optional<std::uint64_t> parseHex(std::string_view Text);

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_ANSWERS_H
