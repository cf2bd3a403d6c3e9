#include "bulrushpitch/config/settings.h"
#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/daemon/daemon.h"
#include "bulrushpitch/daemon/gateway_daemon.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace {

using namespace bulrushpitch;

constexpr int ExitFaultySettings = 2;
constexpr int ExitNotStarted = 1;

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

void startLogging(const Settings &Loaded, const char *Program) {
  FLAGS_logtostderr = Loaded.m_LogDirectory.empty();
  if (!Loaded.m_LogDirectory.empty())
    FLAGS_log_dir = Loaded.m_LogDirectory;
  google::InitGoogleLogging(Program);
}

/// @brief Starts a daemon and runs it until its graceful stop is complete.
/// @return the exit code of the process
template <typename Node> int runUntilStopped(boost::asio::io_context &Context, Node &Server) {
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&Server](boost::system::error_code Code, int) {
    if (!Code)
      Server.drain();
  });
  const Expected<Done> Started = capture([&] { return Server.start(); });
  if (!Started) {
    LOG(ERROR) << "step=start error=\"" << Started.error() << '"';
    return ExitNotStarted;
  }
  Context.run();
  return Server.exitCode();
}

int serve(const Settings &Loaded) {
  boost::asio::io_context Context(1);
  Daemon Node(Context, Loaded);
  return runUntilStopped(Context, Node);
}

void waitForReload(boost::asio::signal_set &Reload, GatewayDaemon &Node, const std::string &File) {
  Reload.async_wait([&Reload, &Node, File](boost::system::error_code Code, int) {
    if (Code)
      return;
    const GatewaySettingsOutcome Outcome = checkGatewaySettings(readFile(File).value_or(""), File);
    for (const Fault &SettingsFault : Outcome.m_Faults)
      LOG(ERROR) << "step=reload error=\"" << SettingsFault.toString() << '"';
    if (Outcome.m_Faults.empty())
      Node.reload(Outcome.m_Settings);
    waitForReload(Reload, Node, File);
  });
}

int serveGateway(const GatewaySettings &Loaded, const std::string &File) {
  boost::asio::io_context Context(1);
  GatewayDaemon Node(Context, Loaded);
  boost::asio::signal_set Reload(Context, SIGHUP);
  waitForReload(Reload, Node, File);
  return runUntilStopped(Context, Node);
}

/// @brief Prints the faults of the settings to standard error.
/// @return the exit code, or std::nullopt if there are no faults
std::optional<int> reportFaults(const std::vector<Fault> &Faults) {
  for (const Fault &SettingsFault : Faults)
    std::cerr << SettingsFault.toString() << '\n';
  return Faults.empty() ? std::nullopt : std::optional(ExitFaultySettings);
}

int runGateway(const std::string &Text, const std::string &File, bool CheckOnly, const char *Program) {
  const GatewaySettingsOutcome Outcome = checkGatewaySettings(Text, File);
  if (const std::optional<int> Code = reportFaults(Outcome.m_Faults))
    return *Code;
  if (CheckOnly)
    return 0;
  std::signal(SIGPIPE, SIG_IGN);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Program);
  return serveGateway(Outcome.m_Settings, File);
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("Model-aware router for versions and cascades");
  std::string File;
  bool CheckOnly = false;
  bool PrintOnly = false;
  App.add_option("--settings", File, "YAML file with the daemon's settings")->required();
  App.add_flag("--check-settings", CheckOnly, "Check the settings, print every fault and exit");
  App.add_flag("--print-effective", PrintOnly, "Print the settings with all defaults and exit");
  CLI11_PARSE(App, Count, Arguments);

  const std::optional<std::string> Text = readFile(File);
  if (!Text) {
    std::cerr << "bulrushpitchd: cannot read " << File << '\n';
    return ExitFaultySettings;
  }
  if (isGatewayProfile(*Text))
    return runGateway(*Text, File, CheckOnly, Arguments[0]);
  const SettingsOutcome Outcome = checkSettings(*Text, File);
  if (const std::optional<int> Code = reportFaults(Outcome.m_Faults))
    return *Code;
  if (CheckOnly)
    return 0;
  if (PrintOnly) {
    std::cout << printEffective(Outcome.m_Settings);
    return 0;
  }
  startLogging(Outcome.m_Settings, Arguments[0]);
  return serve(Outcome.m_Settings);
}
