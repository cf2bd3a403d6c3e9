#include "bulrushpitch/client/client.h"

#include "bulrushpitch/config/settings.h"
#include "detail/commands.h"
#include "detail/completion.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <memory>
#include <ostream>

namespace bulrushpitch {

namespace detail {

namespace {

constexpr const char *Footer =
    "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no daemon or no store reachable, 4 published but not in "
    "force everywhere, 5 another publication came first, 6 outcome unknown, 7 restriction applied but not "
    "published.";

/// @brief The command line: options, commands and what they run.
class CommandLine {
public:
  explicit CommandLine(const ClientHooks &Hooks) : m_Hooks(Hooks), m_Commands(m_Options, Hooks) {
    m_App.require_subcommand(1);
    m_App.footer(Footer);
    m_App.fallthrough();
    m_Options.m_Operator = Hooks.m_User;
    addCommonOptions();
    addSetCommands();
    addQueryCommands();
    addRestrictCommands();
    addRolloutCommands();
    addDrain();
    addCompletion();
  }

  ExitCode run(std::vector<std::string> Arguments) {
    std::reverse(Arguments.begin(), Arguments.end());
    try {
      m_App.parse(Arguments);
    } catch (const CLI::ParseError &Problem) {
      return m_App.exit(Problem, *m_Hooks.m_Out, *m_Hooks.m_Error) == 0 ? ExitCode::Done : ExitCode::Usage;
    }
    if (const std::optional<std::string> Problem = takeOptions()) {
      *m_Hooks.m_Error << *Problem << "\n";
      return ExitCode::Usage;
    }
    return m_Run();
  }

private:
  void addCommonOptions() {
    m_App.add_option("--daemon", m_Daemons, "Operator address IP:PORT of a daemon; repeat for more")
        ->envname("BULRUSHPITCH_DAEMONS")
        ->delimiter(',')
        ->allow_extra_args(false)
        ->expected(1)
        ->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
    m_App.add_option("--output", m_Output, "table or json")->check(CLI::IsMember({"table", "json"}));
    m_App.add_option("--operator", m_Options.m_Operator, "Name written into publications and restrictions");
    m_App.add_option("--timeout", m_TimeoutSeconds, "Seconds for each request")
        ->check(CLI::Range(0.1, 600.0));
    m_App.add_option("--wait", m_WaitSeconds, "Seconds to wait until a revision is in force")
        ->check(CLI::Range(0.0, 3600.0));
  }

  CLI::App *command(CLI::App &Parent, const std::string &Name, const std::string &Text, bool NeedsDaemon,
                    std::function<ExitCode()> Run) {
    CLI::App *Added = Parent.add_subcommand(Name, Text);
    Added->fallthrough();
    Added->callback([this, NeedsDaemon, Run = std::move(Run)] {
      m_Run = Run;
      m_NeedsDaemon = NeedsDaemon;
    });
    return Added;
  }

  void addDryRun(CLI::App *Command) {
    Command->add_flag("--dry-run", m_Options.m_DryRun, "Show what would change, and change nothing");
  }

  void addSetCommands() {
    CLI::App *Check = command(m_App, "check", "Check a set of documents", false,
                              [this] { return m_Commands.check(m_Paths); });
    CLI::App *Diff = command(m_App, "diff", "Compare a set with the published revision", true,
                             [this] { return m_Commands.diff(m_Paths); });
    CLI::App *Publish = command(m_App, "publish", "Publish a set and wait until it is in force", true,
                                [this] { return m_Commands.publish(m_Paths, m_Base, m_PublishId); });
    for (CLI::App *Each : {Check, Diff, Publish})
      Each->add_option("paths", m_Paths, "Files, or directories of *.yaml files")->required();
    Publish->add_option("--base", m_Base, "Revision that the set was made from; the newest if absent");
    Publish->add_option("--publish-id", m_PublishId, "Id of an earlier try whose outcome is unknown");
    addDryRun(Publish);
  }

  void addQueryCommands() {
    command(m_App, "status", "Show the state of a daemon", true, [this] { return m_Commands.status(); });
    command(m_App, "history", "List published revisions", true, [this] {
      return m_Commands.history(m_Limit);
    })->add_option("--limit", m_Limit, "Revisions to list");
    command(m_App, "explain", "Show why a request was decided as it was", true,
            [this] { return m_Commands.explain(m_Name); })
        ->add_option("request", m_Name, "Request id")
        ->required();
    command(m_App, "charges", "List the charges of a team", true,
            [this] { return m_Commands.charges(m_Name); })
        ->add_option("team", m_Name, "Team")
        ->required();
    CLI::App *Timeline = command(m_App, "timeline", "List events in causal order", true,
                                 [this] { return m_Commands.timeline(m_Query, m_Timeline); });
    Timeline->add_option_function<std::uint64_t>(
        "--after", [this](const std::uint64_t &After) { m_Query.m_After = LamportTime(After); },
        "Only events after this Lamport time");
    Timeline->add_option("--kind", m_Query.m_Kind, "Only events of this kind");
    Timeline->add_option("--subject", m_Query.m_Subject, "Only events on this subject");
    Timeline->add_option("--limit", m_Query.m_Limit, "Events to list");
    Timeline->add_option("--request", m_Timeline.m_Request, "Only events of this request");
    Timeline->add_option("--upstream", m_Timeline.m_Upstream, "Only events of this upstream");
    Timeline->add_option("--domain", m_Timeline.m_Domain, "Only events of this failure domain");
    Timeline->add_option("--revision", m_Timeline.m_Revision, "Only events of this revision");
    Timeline->add_option("--svg", m_Timeline.m_Svg, "Draw a picture into this file");
    Timeline->add_flag("--all", m_Query.m_AllInstances, "Events of all instances");
  }

  void addRestrict(CLI::App &Parent, const std::string &Name, const std::string &Text,
                   const std::string &TargetName, RestrictionKind Kind) {
    CLI::App *Added =
        command(Parent, Name, Text, true, [this, Kind] { return m_Commands.restrict(Kind, m_Name); });
    Added->add_option(TargetName, m_Name, "Name")->required();
    addDryRun(Added);
  }

  void addRestrictCommands() {
    addRestrict(m_App, "withdraw", "Withdraw a version", "version", RestrictionKind::WithdrawVersion);
    addRestrict(m_App, "take-out", "Take a failure domain out of service", "domain",
                RestrictionKind::TakeOutDomain);
    CLI::App *Back = command(m_App, "bring-back", "Bring a domain, version or upstream back into service",
                             true, [this] { return m_Commands.bringBack(m_Name); });
    Back->add_option("target", m_Name, "Name")->required();
    addDryRun(Back);
  }

  void addRolloutCommands() {
    CLI::App *Group = m_App.add_subcommand("rollout", "Start, pause or abort a rollout");
    Group->require_subcommand(1);
    Group->fallthrough();
    CLI::App *Start = command(*Group, "start", "Add a rollout or let it go on", true, [this] {
      m_Rollout.m_Name = m_Name;
      return m_Commands.startRollout(m_Rollout);
    });
    Start->add_option("name", m_Name, "Rollout")->required();
    Start->add_option("--model", m_Rollout.m_Model, "Model whose sessions move");
    Start->add_option("--from", m_Rollout.m_From, "Version to leave");
    Start->add_option("--to", m_Rollout.m_To, "Version to start on");
    Start->add_option("--share", m_Rollout.m_Share, "Share of new sessions")->check(CLI::Range(0.0, 1.0));
    addDryRun(Start);
    CLI::App *Pause = command(*Group, "pause", "Move no more sessions for now", true,
                              [this] { return m_Commands.pauseRollout(m_Name); });
    Pause->add_option("name", m_Name, "Rollout")->required();
    addDryRun(Pause);
    addRestrict(*Group, "abort", "Stop a rollout for good", "name", RestrictionKind::StopRollout);
  }

  void addDrain() {
    CLI::App *Added =
        command(m_App, "drain", "Drain an upstream, or stop a daemon with --instance", true, [this] {
          return m_IsInstance ? m_Commands.drainInstance(m_Name, m_DeadlineSeconds)
                              : m_Commands.restrict(RestrictionKind::DrainUpstream, m_Name);
        });
    Added->add_option("name", m_Name, "Upstream or instance")->required();
    CLI::Option *Instance = Added->add_flag("--instance", m_IsInstance, "The name is that of a daemon");
    Added->add_option("--deadline", m_DeadlineSeconds, "Seconds for running requests of a daemon")
        ->needs(Instance)
        ->check(CLI::Range(0, 86'400));
    addDryRun(Added);
  }

  void addCompletion() {
    command(m_App, "completion", "Print a completion script for bash", false, [this] {
      *m_Hooks.m_Out << completionScript(m_App);
      return ExitCode::Done;
    });
  }

  /// Takes over options that need more than CLI11's conversions.
  std::optional<std::string> takeOptions() {
    for (const std::string &Text : m_Daemons) {
      const Expected<SocketAddress> Address = capture([&] { return parseSocketAddress(Text); });
      if (!Address)
        return "--daemon " + Text + ": " + Address.error().m_Detail;
      m_Options.m_Daemons.push_back({Address->m_Address, Address->m_Port});
    }
    if (m_NeedsDaemon && m_Daemons.empty())
      return "this command needs --daemon IP:PORT";
    m_Options.m_Json = m_Output == "json";
    m_Options.m_Timeout = std::chrono::milliseconds(static_cast<std::int64_t>(m_TimeoutSeconds * 1000));
    m_Options.m_Wait = std::chrono::milliseconds(static_cast<std::int64_t>(m_WaitSeconds * 1000));
    return std::nullopt;
  }

  const ClientHooks &m_Hooks;
  CLI::App m_App{"Operator client of bulrushpitch", "bulrushpitch"};
  CommonOptions m_Options;
  Commands m_Commands;
  std::function<ExitCode()> m_Run;
  bool m_NeedsDaemon = false;
  std::vector<std::string> m_Daemons;
  std::string m_Output = "table";
  double m_TimeoutSeconds = 10;
  double m_WaitSeconds = 15;
  std::vector<std::string> m_Paths;
  std::optional<std::uint64_t> m_Base;
  std::string m_PublishId;
  std::string m_Name;
  std::uint32_t m_Limit = 20;
  TimelineQuery m_Query;
  detail::TimelineOptions m_Timeline;
  RolloutOptions m_Rollout;
  bool m_IsInstance = false;
  std::optional<std::uint32_t> m_DeadlineSeconds;
};

} // namespace

} // namespace detail

ExitCode runClient(const std::vector<std::string> &Arguments, const ClientHooks &Hooks) {
  return detail::CommandLine(Hooks).run(Arguments);
}

} // namespace bulrushpitch
