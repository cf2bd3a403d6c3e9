#include "bulrushpitch/standin/engine.h"
#include "bulrushpitch/standin/platform.h"
#include "bulrushpitch/standin/service.h"

#include "bulrushpitch/platform/detail/wire.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include <cstdlib>
#include <iostream>

using namespace bulrushpitch;
using namespace bulrushpitch::standin;
namespace asio = boost::asio;

namespace {

/// Settings that engines and services share on the command line.
struct Fleet {
  std::uint16_t m_Port = 0;
  std::size_t m_Count = 1;
  std::string m_Name;
  std::vector<std::string> m_Domains{"west-a"};
  std::string m_Platform{};
  std::int64_t m_WarmUpMs = 30'000;
  std::int64_t m_LagMs = 300;
  ProcessSettings m_Process{};

  void addOptions(CLI::App &Command) {
    Command.add_option("--port", m_Port, "First port")->required();
    Command.add_option("--count", m_Count, "Processes, on consecutive ports")->check(CLI::Range(1, 1'000));
    Command.add_option("--name", m_Name, "Name; process i is <name>-<i>");
    Command.add_option("--domains", m_Domains, "Failure domains, given out in turn")->delimiter(',');
    Command.add_option("--platform", m_Platform, "Platform stand-in whose instance list to enter");
    Command.add_option("--capacity", m_Process.m_Capacity, "Requests at once when warm");
    Command.add_option("--cold-limit", m_Process.m_ColdLimit, "Requests at once after a start");
    Command.add_option("--warm-up-ms", m_WarmUpMs, "Time from the cold limit to the capacity");
    Command.add_option("--lag-ms", m_LagMs, "Lag of the load report");
    Command.add_flag("--warm", m_Process.m_StartsWarm, "Start warm");
  }

  /// @return the settings of process @p Index, counted from 0
  ProcessSettings process(std::size_t Index) const {
    ProcessSettings Settings = m_Process;
    Settings.m_Name = m_Name + "-" + std::to_string(Index + 1);
    Settings.m_Domain = m_Domains.at(Index % m_Domains.size());
    Settings.m_Address.m_Port = static_cast<std::uint16_t>(m_Port + Index);
    Settings.m_WarmUp = Milliseconds(m_WarmUpMs);
    Settings.m_Lag = Milliseconds(m_LagMs);
    return Settings;
  }
};

/// Keeps a process's entry in the platform's instance list up to date.
asio::awaitable<void> keepListed(asio::io_context &Context, Endpoint Platform, Process &Listed) {
  constexpr Milliseconds Interval{200};
  constexpr Milliseconds Timeout{2'000};
  HttpClient Client(Context, "enter instance list");
  bool Changed = true;
  Listed.m_OnChange = [&Changed] { Changed = true; };
  while (true) {
    if (Changed) {
      Changed = false;
      HttpRequest Request;
      Request.m_Method = "POST";
      Request.m_Target = "/standin/instances";
      Request.m_Body = json{{"put", json::array({Listed.listEntry()})}}.dump();
      const Expected<HttpResponse> Response = co_await Client.exchange(Platform, Request, Timeout);
      Changed = Changed || !Response || Response->m_Status != 200;
    }
    co_await sleepFor(Interval);
  }
}

template <typename Standin>
void startOne(asio::io_context &Context, const Fleet &Settings, Standin &Started) {
  const Expected<Done> Outcome = capture([&Started]() -> Result<void> { return Started.start(); });
  if (!Outcome)
    throw std::runtime_error(Outcome.error().toString());
  if (Settings.m_Platform.empty())
    return;
  const std::optional<Endpoint> Platform = bulrushpitch::detail::parseEndpoint(Settings.m_Platform);
  if (!Platform)
    throw std::runtime_error("--platform is not an IP number with a port");
  asio::co_spawn(Context, keepListed(Context, *Platform, Started.process()), asio::detached);
}

void runUntilSignal(asio::io_context &Context, const std::string &What) {
  asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&Context](const boost::system::error_code &, int) { Context.stop(); });
  std::cout << What << " ready" << std::endl;
  Context.run();
}

std::map<std::string, double> parseVersions(const std::vector<std::string> &Texts) {
  std::map<std::string, double> Versions;
  for (const std::string &Text : Texts) {
    const std::size_t Equals = Text.find('=');
    Versions[Text.substr(0, Equals)] = Equals == std::string::npos ? 0.8 : std::stod(Text.substr(Equals + 1));
  }
  return Versions;
}

struct PlatformCommand {
  PlatformSettings m_Settings;
  std::int64_t m_ListLagMs = 500;
  std::int64_t m_RatingMs = 50;

  void addTo(CLI::App &App) {
    CLI::App &Command = *App.add_subcommand("platform", "Table service, object store, instance list, "
                                                        "rating service and weight store");
    Command.add_option("--port", m_Settings.m_Address.m_Port, "First port")->required();
    Command.add_flag("--separate", m_Settings.m_Separate, "Serve on five consecutive ports");
    Command.add_option("--writes", m_Settings.m_WritesPerSecond, "Writes per second");
    Command.add_option("--reads", m_Settings.m_ReadsPerSecond, "Reads per second");
    Command.add_option("--queue", m_Settings.m_QueueLimit, "Requests that may wait for their turn");
    Command.add_option("--list-lag-ms", m_ListLagMs, "Lag of the instance list");
    Command.add_option("--rating-ms", m_RatingMs, "Time that a rating takes");
    Command.callback([this] { run(); });
  }

  void run() {
    asio::io_context Context;
    m_Settings.m_ListLag = Milliseconds(m_ListLagMs);
    m_Settings.m_RatingTime = Milliseconds(m_RatingMs);
    PlatformStandin Platform(Context, m_Settings);
    startPlatform(Platform);
    runUntilSignal(Context, "platform");
  }

  static void startPlatform(PlatformStandin &Platform) {
    const Expected<Done> Outcome = capture([&Platform]() -> Result<void> { return Platform.start(); });
    if (!Outcome)
      throw std::runtime_error(Outcome.error().toString());
  }
};

struct EngineCommand {
  Fleet m_Fleet{.m_Name = "engine"};
  EngineSettings m_Settings;
  std::vector<std::string> m_Versions{"v1=0.8"};
  double m_BaseGapMs = 8;
  double m_StreamGapMs = 0.5;
  std::int64_t m_LoadMs = 5'000;
  std::int64_t m_EventLagMs = 500;

  void addTo(CLI::App &App) {
    CLI::App &Command = *App.add_subcommand("engine", "One or more model engines");
    m_Fleet.m_Process = m_Settings.m_Process;
    m_Fleet.addOptions(Command);
    Command.add_option("--versions", m_Versions, "Loaded versions, <version>=<quality>")->delimiter(',');
    Command.add_option("--queue", m_Fleet.m_Process.m_QueueLimit, "Streams that may wait");
    Command.add_option("--base-gap-ms", m_BaseGapMs, "Gap between tokens without other streams");
    Command.add_option("--stream-gap-ms", m_StreamGapMs, "Gap added by each running stream");
    Command.add_option("--prefill", m_Settings.m_PrefillRate, "Prompt tokens per second");
    Command.add_option("--cache-blocks", m_Settings.m_CacheBlocks, "Blocks of the prefix cache");
    Command.add_option("--load-ms", m_LoadMs, "Time to load a version or adapter");
    Command.add_option("--event-lag-ms", m_EventLagMs, "Lag of cache events");
    Command.add_option("--event-loss", m_Settings.m_EventLoss, "Share of cache events that are lost");
    Command.add_flag("--check-fencing", m_Settings.m_ChecksFencing, "Refuse old fencing numbers");
    Command.callback([this] { run(); });
  }

  void run() {
    asio::io_context Context;
    m_Settings.m_Versions = parseVersions(m_Versions);
    m_Settings.m_BaseGap = std::chrono::microseconds(static_cast<std::int64_t>(m_BaseGapMs * 1000));
    m_Settings.m_StreamGap = std::chrono::microseconds(static_cast<std::int64_t>(m_StreamGapMs * 1000));
    m_Settings.m_LoadTime = Milliseconds(m_LoadMs);
    m_Settings.m_EventLag = Milliseconds(m_EventLagMs);
    std::vector<std::unique_ptr<EngineStandin>> Engines;
    for (std::size_t Index = 0; Index < m_Fleet.m_Count; ++Index) {
      m_Settings.m_Process = m_Fleet.process(Index);
      Engines.push_back(std::make_unique<EngineStandin>(Context, m_Settings));
      startOne(Context, m_Fleet, *Engines.back());
    }
    runUntilSignal(Context, std::to_string(m_Fleet.m_Count) + " engines");
  }
};

struct ServiceCommand {
  Fleet m_Fleet{.m_Name = "service"};
  std::int64_t m_WorkMs = 5;
  std::int64_t m_OpeningBalance = 100'000;

  void addTo(CLI::App &App) {
    CLI::App &Command = *App.add_subcommand("service", "One or more processes of a plain service");
    m_Fleet.m_Process.m_Capacity = 64;
    m_Fleet.m_Process.m_ColdLimit = 4;
    m_Fleet.m_WarmUpMs = 10'000;
    m_Fleet.addOptions(Command);
    Command.add_option("--work-ms", m_WorkMs, "Time that a call takes");
    Command.add_option("--opening-balance", m_OpeningBalance, "Balance of a wallet before its first debit");
    Command.callback([this] { run(); });
  }

  void run() {
    asio::io_context Context;
    std::shared_ptr<Ledger> Books = std::make_shared<Ledger>();
    Books->m_OpeningBalance = m_OpeningBalance;
    std::vector<std::unique_ptr<ServiceStandin>> Services;
    for (std::size_t Index = 0; Index < m_Fleet.m_Count; ++Index) {
      Services.push_back(
          std::make_unique<ServiceStandin>(Context, m_Fleet.process(Index), Milliseconds(m_WorkMs), Books));
      startOne(Context, m_Fleet, *Services.back());
    }
    runUntilSignal(Context, std::to_string(m_Fleet.m_Count) + " service processes");
  }
};

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"Stand-ins for the outside systems, for tests"};
  App.require_subcommand(1);
  PlatformCommand Platform;
  EngineCommand Engine;
  ServiceCommand Service;
  Platform.addTo(App);
  Engine.addTo(App);
  Service.addTo(App);
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Caught) {
    return App.exit(Caught);
  } catch (const std::exception &Caught) {
    std::cerr << "bulrushpitch-standin: " << Caught.what() << std::endl;
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
