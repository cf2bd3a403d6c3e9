#ifndef BULRUSHPITCH_DAEMON_DAEMON_H
#define BULRUSHPITCH_DAEMON_DAEMON_H

/// @file
/// @brief Entry header of the daemon package.

#include "bulrushpitch/config/settings.h"
#include "bulrushpitch/core/error.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace bulrushpitch {

/// @brief A complete daemon on one event loop.
///
/// @code
/// boost::asio::io_context Context;
/// Daemon Node(Context, Settings);
/// if (Node.start())
///   Context.run();
/// return Node.exitCode();
/// @endcode
class Daemon {
public:
  /// @param Context the event loop, run by a single thread
  Daemon(boost::asio::io_context &Context, Settings Loaded);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// @brief Starts all services and their listeners.
  Result<void> start();
  /// @brief Begins the graceful stop; stops the event loop when it is complete.
  void drain();
  /// @return the exit code of the process: 0 after a graceful stop
  int exitCode() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_DAEMON_DAEMON_H
