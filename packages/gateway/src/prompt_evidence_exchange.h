#ifndef BULRUSHPITCH_GATEWAY_SRC_PROMPT_EVIDENCE_EXCHANGE_H
#define BULRUSHPITCH_GATEWAY_SRC_PROMPT_EVIDENCE_EXCHANGE_H

#include "bulrushpitch/gateway/event_log.h"
#include "bulrushpitch/gateway/gateway_state.h"
#include "bulrushpitch/gateway/ports.h"
#include "bulrushpitch/net/async.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <set>

namespace bulrushpitch {

/// @brief Exchanges the evidence on crashes that prompts cause with the other daemons, and logs which parts
/// of prompts are in quarantine.
///
/// Not thread-safe; used from one event loop. Must be owned by a shared_ptr, which its store calls extend.
class PromptEvidenceExchange : public std::enable_shared_from_this<PromptEvidenceExchange> {
public:
  PromptEvidenceExchange(boost::asio::io_context &Context, ControlStore &Store, GatewayState &State,
                         EventLog &Log, ClockHook Clock);

  void apply(const PromptEvidenceChanges &Changes);
  /// @brief Reads all evidence, beside the watch.
  void readAll();
  void onStoreRestored();
  /// @brief Updates the quarantine and publishes new evidence. Called periodically.
  void onTick();

private:
  void logQuarantineChanges();
  void publish();
  static boost::asio::awaitable<void> read(std::shared_ptr<PromptEvidenceExchange> Self);
  static boost::asio::awaitable<void> write(std::shared_ptr<PromptEvidenceExchange> Self,
                                            PromptEvidence Evidence);

  boost::asio::io_context &m_Context;
  ControlStore &m_Store;
  GatewayState &m_State;
  EventLog &m_Log;
  ClockHook m_Clock;
  bool m_WasRead = false; ///< Whether the other daemons' evidence has been read.
  bool m_WriteInProgress = false;
  TimePoint m_NextWriteAt{};
  std::set<PromptPartId> m_LoggedQuarantine;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_GATEWAY_SRC_PROMPT_EVIDENCE_EXCHANGE_H
