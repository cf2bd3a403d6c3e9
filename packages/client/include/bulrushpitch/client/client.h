#ifndef BULRUSHPITCH_CLIENT_CLIENT_H
#define BULRUSHPITCH_CLIENT_CLIENT_H

#include "bulrushpitch/config/documents.h"
#include "bulrushpitch/core/clock.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/net/http_message.h"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace bulrushpitch {

/// @brief What the client's exit code says.
enum class ExitCode : int {
  Done = 0,
  Refused = 1,        ///< The set or the request has faults; nothing changed.
  Usage = 2,          ///< The command line is wrong.
  Unreachable = 3,    ///< No daemon answered; nothing changed.
  NotInForce = 4,     ///< Published, but not confirmed by every live instance within the waiting time.
  Conflict = 5,       ///< Another publication came first; nothing changed.
  OutcomeUnknown = 6, ///< The publication may have taken effect; repeat with the printed publish id.
  OnlyRestricted = 7  ///< The restriction is applied, but the change could not be published.
};

/// Sends one request to one daemon. Any HTTP status is a success.
using Transport = std::function<Expected<HttpResponse>(const Endpoint &, const HttpRequest &, Duration)>;

/// @brief Everything outside the process that the client uses.
struct ClientHooks {
  Transport m_Send;
  ClockHook m_Now;
  std::function<void(Duration)> m_Sleep;
  RandomHook m_Random; ///< For publish ids and restriction ids.
  /// Reads files, and the YAML files of directories.
  std::function<Expected<std::vector<DocumentFile>>(const std::vector<std::string> &)> m_ReadFiles;
  std::ostream *m_Out = nullptr;   ///< Results.
  std::ostream *m_Error = nullptr; ///< Progress and errors.
  std::string m_User;              ///< Operator if the command line names none.
};

/// @return hooks that use HTTP, the process's clock and files; output goes to the standard streams
ClientHooks systemHooks();

/// @brief Runs one command.
/// @param Arguments the command line without the program's name
///
/// @code
/// return static_cast<int>(runClient({"--daemon", "127.0.0.1:7001", "status"}, systemHooks()));
/// @endcode
ExitCode runClient(const std::vector<std::string> &Arguments, const ClientHooks &Hooks);

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CLIENT_CLIENT_H
