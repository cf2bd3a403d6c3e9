#ifndef BULRUSHPITCH_STANDIN_STREAM_BATCH_H
#define BULRUSHPITCH_STANDIN_STREAM_BATCH_H

#include "bulrushpitch/standin/engine.h"
#include "stream.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushpitch::standin {

/// @brief The streams of an engine: those it generates as one batch, those that wait, and those that ended
/// lately.
class StreamBatch {
public:
  /// @param Settings, Owner and Active outlive the batch
  StreamBatch(boost::asio::io_context &Context, const EngineSettings &Settings, Process &Owner,
              const Faults &Active)
      : m_Context(Context), m_Settings(Settings), m_Process(Owner), m_Faults(Active) {}

  /// @brief Gives a stream its id and lets it wait for its place in the batch.
  void add(const StreamPointer &New);
  /// @return the stream of that id; null if there is none
  StreamPointer find(const std::string &Id) const;
  /// @brief Ends a stream that its caller has cancelled; nothing if it has ended already.
  void cancel(const StreamPointer &Cancelled);
  /// @brief Loses all streams, as the end of the engine process does.
  void loseAll();
  /// @brief Generates until no stream is left, unless that runs already.
  /// @param Self keeps the batch's owner alive meanwhile
  static void generate(std::shared_ptr<StreamBatch> Self);

  /// @return streams that run or wait
  std::size_t size() const { return m_Running.size() + m_Queue.size(); }
  std::uint64_t started() const { return m_Started; }
  std::uint64_t tokens() const { return m_Tokens; }
  /// @return number of streams that ended for a reason
  std::uint64_t ended(const std::string &Reason) const;
  /// @return the latest attempts, oldest first
  json attempts() const;

private:
  static boost::asio::awaitable<void> generateLoop(std::shared_ptr<StreamBatch> Self);
  void forgetFinished();
  void recordAttempt(const Stream &New);
  void fillBatch();
  StreamPointer takeFirstWaiting();
  Duration prefillTime(const Stream &Chosen) const;
  Duration gap() const;
  void noteLoad();
  void step();
  void produceToken(Stream &Running);
  void finish(Stream &Ended, const std::string &Reason);

  boost::asio::io_context &m_Context;
  const EngineSettings &m_Settings;
  Process &m_Process;
  const Faults &m_Faults;
  std::map<std::string, StreamPointer> m_Streams; ///< By id; finished ones are kept for a while.
  std::vector<StreamPointer> m_Running;
  std::vector<StreamPointer> m_Queue;
  std::deque<std::shared_ptr<AuditEntry>> m_Audit;
  std::map<std::string, std::uint64_t> m_Ends; ///< Streams ended, by finish reason.
  std::uint64_t m_Started = 0;
  std::uint64_t m_Tokens = 0;
  bool m_LoopRuns = false;
};

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_STREAM_BATCH_H
