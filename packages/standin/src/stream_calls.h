#ifndef BULRUSHPITCH_STANDIN_STREAM_CALLS_H
#define BULRUSHPITCH_STANDIN_STREAM_CALLS_H

#include "engine_state.h"
#include "stream.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace bulrushpitch::standin {

/// @brief The calls that start, resume and cancel streams.
class StreamCalls {
public:
  /// @param Engine outlives the calls
  explicit StreamCalls(EngineState &Engine) : m_Engine(Engine) {}

  /// @brief Answers POST /generate.
  boost::asio::awaitable<void> generate(HttpRequest &Request, ResponseWriter &Writer);
  /// @brief Answers GET /streams/<id>.
  boost::asio::awaitable<void> resume(const std::string &Id, HttpRequest &Request, ResponseWriter &Writer);
  /// @brief Answers DELETE /streams/<id>.
  HttpResponse cancel(const std::string &Id);

private:
  /// A new stream, or the reason why there is none.
  struct Accepted {
    StreamPointer m_Stream;
    HttpResponse m_Refusal;
  };

  Accepted accept(const json &Body);
  std::optional<HttpResponse> checkVersion(const std::string &Version, const json &Body) const;
  std::optional<HttpResponse> checkAdmission();
  StreamPointer makeStream(const std::string &Version, const json &Body) const;
  AnswerMark makeMark(const std::string &Version, const std::string &Prompt, const std::string &Before,
                      const json &Body);
  void start(const StreamPointer &New, const std::string &Prompt);
  boost::asio::awaitable<void> deliver(StreamPointer From, std::size_t Offset, ResponseWriter &Writer);
  std::string firstLine(const Stream &From);

  EngineState &m_Engine;
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_STREAM_CALLS_H
