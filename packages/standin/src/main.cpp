#include "bulrushpitch/standin/engine.h"
#include "bulrushpitch/standin/load.h"
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

template <typename Unit>
void addTime(CLI::App &Command, const std::string &Name, Unit &Target, double UnitsPerNumber,
             const std::string &Description) {
  Command.add_option_function<double>(
      Name,
      [&Target, UnitsPerNumber](const double &Number) {
        Target = Unit(static_cast<typename Unit::rep>(Number * UnitsPerNumber));
      },
      Description);
}

void addMs(CLI::App &Command, const std::string &Name, Milliseconds &Target, const std::string &Description) {
  addTime(Command, Name, Target, 1, Description);
}

void addSeconds(CLI::App &Command, const std::string &Name, Milliseconds &Target,
                const std::string &Description) {
  addTime(Command, Name, Target, 1'000, Description);
}

Endpoint parseAddress(const std::string &Option, const std::string &Text) {
  const std::optional<Endpoint> Address = bulrushpitch::detail::parseEndpoint(Text);
  if (!Address)
    throw std::runtime_error(Option + " is not an IP number with a port: " + Text);
  return *Address;
}

template <typename Standin> void startOrThrow(Standin &Started) {
  const Expected<Done> Outcome = capture([&Started]() -> Result<void> { return Started.start(); });
  if (!Outcome)
    throw std::runtime_error(Outcome.error().toString());
}

/// Settings that engines and services share on the command line.
struct Fleet {
  std::uint16_t m_Port = 0;
  std::size_t m_Count = 1;
  std::string m_Name;
  std::vector<std::string> m_Domains{"west-a"};
  std::string m_Platform{};
  ProcessSettings m_Process{};

  void addOptions(CLI::App &Command) {
    Command.add_option("--port", m_Port, "First port")->required();
    Command.add_option("--count", m_Count, "Processes, on consecutive ports")->check(CLI::Range(1, 1'000));
    Command.add_option("--name", m_Name, "Name; process i is <name>-<i>");
    Command.add_option("--domains", m_Domains, "Failure domains, given out in turn")->delimiter(',');
    Command.add_option("--platform", m_Platform, "Platform stand-in whose instance list to enter");
    Command.add_option("--capacity", m_Process.m_Capacity, "Requests at once when warm");
    Command.add_option("--cold-limit", m_Process.m_ColdLimit, "Requests at once after a start");
    addMs(Command, "--warm-up-ms", m_Process.m_WarmUp, "Time from the cold limit to the capacity");
    addMs(Command, "--lag-ms", m_Process.m_Lag, "Lag of the load report");
    Command.add_flag("--warm", m_Process.m_StartsWarm, "Start warm");
  }

  /// @return the settings of process @p Index, counted from 0
  ProcessSettings process(std::size_t Index) const {
    ProcessSettings Settings = m_Process;
    Settings.m_Name = m_Name + "-" + std::to_string(Index + 1);
    Settings.m_Domain = m_Domains.at(Index % m_Domains.size());
    Settings.m_Address.m_Port = static_cast<std::uint16_t>(m_Port + Index);
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
      json Body;
      Body["put"].push_back(Listed.listEntry());
      Request.m_Body = Body.dump();
      const Expected<HttpResponse> Response = co_await Client.exchange(Platform, Request, Timeout);
      Changed = Changed || !Response || Response->m_Status != 200;
    }
    co_await sleepFor(Interval);
  }
}

template <typename Standin>
void startOne(asio::io_context &Context, const Fleet &Settings, Standin &Started) {
  startOrThrow(Started);
  if (!Settings.m_Platform.empty())
    asio::co_spawn(Context,
                   keepListed(Context, parseAddress("--platform", Settings.m_Platform), Started.process()),
                   asio::detached);
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

  void addTo(CLI::App &App) {
    CLI::App &Command = *App.add_subcommand("platform", "Table service, object store, instance list, "
                                                        "rating service and weight store");
    Command.add_option("--port", m_Settings.m_Address.m_Port, "First port")->required();
    Command.add_flag("--separate", m_Settings.m_Separate, "Serve on five consecutive ports");
    Command.add_option("--writes", m_Settings.m_WritesPerSecond, "Writes per second");
    Command.add_option("--reads", m_Settings.m_ReadsPerSecond, "Reads per second");
    Command.add_option("--queue", m_Settings.m_QueueLimit, "Requests that may wait for their turn");
    addMs(Command, "--list-lag-ms", m_Settings.m_ListLag, "Lag of the instance list");
    addMs(Command, "--rating-ms", m_Settings.m_RatingTime, "Time that a rating takes");
    Command.callback([this] { run(); });
  }

  void run() {
    asio::io_context Context;
    PlatformStandin Platform(Context, m_Settings);
    startOrThrow(Platform);
    runUntilSignal(Context, "platform");
  }
};

struct EngineCommand {
  Fleet m_Fleet{.m_Name = "engine"};
  EngineSettings m_Settings;
  std::vector<std::string> m_Versions{"v1=0.8"};

  void addTo(CLI::App &App) {
    CLI::App &Command = *App.add_subcommand("engine", "One or more model engines");
    m_Fleet.m_Process = m_Settings.m_Process;
    m_Fleet.addOptions(Command);
    Command.add_option("--versions", m_Versions, "Loaded versions, <version>=<quality>")->delimiter(',');
    Command.add_option("--queue", m_Fleet.m_Process.m_QueueLimit, "Streams that may wait");
    addTime(Command, "--base-gap-ms", m_Settings.m_BaseGap, 1'000,
            "Gap between tokens without other streams");
    addTime(Command, "--stream-gap-ms", m_Settings.m_StreamGap, 1'000, "Gap added by each running stream");
    Command.add_option("--prefill", m_Settings.m_PrefillRate, "Prompt tokens per second");
    Command.add_option("--cache-blocks", m_Settings.m_CacheBlocks, "Blocks of the prefix cache");
    addMs(Command, "--load-ms", m_Settings.m_LoadTime, "Time to load a version or adapter");
    addMs(Command, "--event-lag-ms", m_Settings.m_EventLag, "Lag of cache events");
    Command.add_option("--event-loss", m_Settings.m_EventLoss, "Share of cache events that are lost");
    Command.add_flag("--check-fencing", m_Settings.m_ChecksFencing, "Refuse old fencing numbers");
    Command.callback([this] { run(); });
  }

  void run() {
    asio::io_context Context;
    m_Settings.m_Versions = parseVersions(m_Versions);
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
  Milliseconds m_Work{5};
  std::shared_ptr<Ledger> m_Books = std::make_shared<Ledger>();

  void addTo(CLI::App &App) {
    CLI::App &Command = *App.add_subcommand("service", "One or more processes of a plain service");
    m_Fleet.m_Process.m_Capacity = 64;
    m_Fleet.m_Process.m_ColdLimit = 4;
    m_Fleet.m_Process.m_WarmUp = Milliseconds(10'000);
    m_Fleet.addOptions(Command);
    addMs(Command, "--work-ms", m_Work, "Time that a call takes");
    Command.add_option("--opening-balance", m_Books->m_OpeningBalance,
                       "Balance of a wallet before its first debit");
    Command.callback([this] { run(); });
  }

  void run() {
    asio::io_context Context;
    std::vector<std::unique_ptr<ServiceStandin>> Services;
    for (std::size_t Index = 0; Index < m_Fleet.m_Count; ++Index) {
      Services.push_back(std::make_unique<ServiceStandin>(Context, m_Fleet.process(Index), m_Work, m_Books));
      startOne(Context, m_Fleet, *Services.back());
    }
    runUntilSignal(Context, std::to_string(m_Fleet.m_Count) + " service processes");
  }
};

struct LoadCommand {
  LoadSettings m_Settings;
  std::vector<std::string> m_Daemons;
  bool m_Failed = false;

  void addTo(CLI::App &App) {
    CLI::App &Command = *App.add_subcommand("load", "Callers of one or more daemons");
    Command.add_option("--daemon", m_Daemons, "Address of a daemon; repeat for several")->required();
    Command.add_option("--key", m_Settings.m_Key, "API key")->required();
    Command.add_option("--model", m_Settings.m_Model, "Model to ask for")->required();
    Command.add_option("--task", m_Settings.m_Task, "Task to name");
    Command.add_option("--rate", m_Settings.m_Rate, "Requests per second")->check(CLI::PositiveNumber);
    Command.add_option("--concurrency", m_Settings.m_Concurrency, "Requests at once");
    Command.add_option("--requests", m_Settings.m_Requests, "Requests to send");
    addSeconds(Command, "--seconds", m_Settings.m_Time, "Time in which requests are started");
    addSeconds(Command, "--timeout", m_Settings.m_Timeout, "Timeout of each request, in seconds");
    Command.add_option("--streamed", m_Settings.m_StreamedShare, "Share of streamed chat completions");
    Command.add_option("--services", m_Settings.m_ServiceShare, "Share of service calls");
    Command.add_option("--service", m_Settings.m_Service, "Service to call");
    Command.add_option("--service-kind", m_Settings.m_ServiceKind, "Routes that the service has")
        ->check(CLI::IsMember({"payments", "orders"}));
    Command.add_option("--max-tokens", m_Settings.m_MaxTokens, "Limit of each answer");
    Command.callback([this] { run(); });
  }

  void run() {
    for (const std::string &Text : m_Daemons)
      m_Settings.m_Daemons.push_back(parseAddress("--daemon", Text));
    m_Settings.m_RunId = std::to_string(unixMilliseconds());
    asio::io_context Context;
    const LoadReport Report = runLoad(Context, m_Settings);
    std::cout << Report.toJson().dump(2) << std::endl;
    m_Failed = !Report.m_Wrong.empty();
  }
};

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"Stand-ins for the outside systems, for tests"};
  App.require_subcommand(1);
  PlatformCommand Platform;
  EngineCommand Engine;
  ServiceCommand Service;
  LoadCommand Load;
  Platform.addTo(App);
  Engine.addTo(App);
  Service.addTo(App);
  Load.addTo(App);
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Caught) {
    return App.exit(Caught);
  } catch (const std::exception &Caught) {
    std::cerr << "bulrushpitch-standin: " << Caught.what() << std::endl;
    return EXIT_FAILURE;
  }
  return Load.m_Failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
