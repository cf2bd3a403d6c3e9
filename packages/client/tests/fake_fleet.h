#ifndef BULRUSHPITCH_CLIENT_TESTS_FAKE_FLEET_H
#define BULRUSHPITCH_CLIENT_TESTS_FAKE_FLEET_H

#include "bulrushpitch/client/client.h"
#include "bulrushpitch/config/admin_api.h"

#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace bulrushpitch::testing {

/// @brief Four daemons that answer the operators' interface from memory, with faults on demand.
class FakeFleet {
public:
  Configuration m_Head;
  bool m_StoreDown = false;
  int m_PublishCalls = 0;
  int m_LoseAnswers = 0;                 ///< Publications that take effect, but whose answer is lost.
  std::set<std::uint16_t> m_Dead;        ///< Ports that refuse connections.
  std::set<std::uint16_t> m_Behind;      ///< Ports of daemons that never confirm a revision.
  std::function<void()> m_BeforePublish; ///< Run once, before the next publication is handled.
  std::map<std::uint16_t, std::vector<Restriction>> m_Restrictions; ///< By port.
  std::vector<PublishRequest> m_Published;                          ///< Those that took effect.
  std::vector<DrainRequest> m_Drained;
  std::ostringstream m_Out;
  std::ostringstream m_Error;
  std::vector<DocumentFile> m_Files;

  /// @brief Runs one command against ports 1 and 2.
  ExitCode run(std::vector<std::string> Arguments) {
    m_Out.str("");
    m_Error.str("");
    Arguments.insert(Arguments.begin(), {"--daemon", "127.0.0.1:1", "--daemon", "127.0.0.1:2"});
    return runAlone(Arguments);
  }
  ExitCode runAlone(const std::vector<std::string> &Arguments) {
    ClientHooks Hooks;
    Hooks.m_Send = [this](const Endpoint &Daemon, const HttpRequest &Request, Duration) {
      return answer(Daemon.m_Port, Request);
    };
    Hooks.m_Now = [this] { return m_Now; };
    Hooks.m_Sleep = [this](Duration Pause) { m_Now += Pause; };
    Hooks.m_Random = m_Random;
    Hooks.m_ReadFiles = [this](const std::vector<std::string> &) {
      return Expected<std::vector<DocumentFile>>(m_Files);
    };
    Hooks.m_Out = &m_Out;
    Hooks.m_Error = &m_Error;
    Hooks.m_User = "anuja";
    return runClient(Arguments, Hooks);
  }

  /// @brief Publishes as another operator does.
  void publishAsOther(const Configuration &Value) {
    const ConfigRevision Next = m_Head.m_Revision + ConfigRevision(1);
    m_Head = Value;
    m_Head.m_Revision = Next;
  }

private:
  static constexpr std::uint16_t Ports = 4;

  static std::string nameOfPort(std::uint16_t Port) { return "daemon-" + std::to_string(Port); }

  static HttpResponse failure(unsigned Status, ErrorCode Code, Ran Outcome) {
    HttpResponse Response;
    Response.m_Status = Status;
    Response.m_Body = encodeError({Code, "publish", "table service", Outcome, "no answer"});
    return Response;
  }
  template <typename Message> static HttpResponse good(const Message &Value, unsigned Status = 200) {
    HttpResponse Response;
    Response.m_Status = Status;
    Response.m_Body = encodeMessage(Value);
    return Response;
  }
  template <typename Message> static Message parsed(const HttpRequest &Request) {
    return *capture([&] { return decodeMessage<Message>(Request.m_Body); });
  }

  Expected<HttpResponse> answer(std::uint16_t Port, const HttpRequest &Request) {
    if (m_Dead.contains(Port))
      return Error{ErrorCode::UpstreamConnect, "ask daemon", nameOfPort(Port), Ran::No, "refused"};
    const std::string Path(Request.path());
    if (Path == admin_path::Publish)
      return publish(parsed<PublishRequest>(Request));
    if (Path == admin_path::Config)
      return good(ConfigReply{PublishId("p-head"), "op", m_Head});
    if (Path == admin_path::Restrict) {
      m_Restrictions[Port].push_back(parsed<Restriction>(Request));
      return good(RestrictReply{InstanceId(nameOfPort(Port)), {}, false});
    }
    if (Path == admin_path::Status)
      return good(status(Port));
    if (Path == admin_path::InForce)
      return good(inForce());
    if (Path == admin_path::Drain) {
      m_Drained.push_back(parsed<DrainRequest>(Request));
      return good(DrainReply{m_Drained.back().m_Instance, std::chrono::seconds(30), 2});
    }
    return query(Port, Path, Request);
  }

  static HttpResponse query(std::uint16_t Port, const std::string &Path, const HttpRequest &Request) {
    // Only daemons 1 and 4 know the request "q".
    if (Path == admin_path::Explain && (Request.query("request") != "q" || Port == 2 || Port == 3))
      return failure(404, ErrorCode::ObjectNotFound, Ran::No);
    if (Path == admin_path::Explain)
      return good(ExplainReply{RequestId("q"),
                               {{10 - Port, InstanceId(nameOfPort(Port)), "route", {}, {}, "cheapest"}}});
    if (Path == admin_path::History)
      return good(HistoryReply{{{ConfigRevision(1), PublishId("p-1"), "op", 0, {"team/a"}}}});
    if (Path == admin_path::Timeline)
      return good(TimelineReply{{{InstanceId("a"), LamportTime(3), 4, "lease", "d/0", "lost"}}, true, {}});
    const bool First = !Request.query("after");
    return good(
        ChargesReply{TeamId("t"),
                     MicroCents(5),
                     {{RequestId(First ? "q-1" : "q-2"), MicroCents(5), "v", Tokens(1), Tokens(2), 3}},
                     First ? "q-1" : "",
                     4});
  }

  Expected<HttpResponse> publish(const PublishRequest &Request) {
    if (const std::function<void()> Before = std::exchange(m_BeforePublish, nullptr))
      Before();
    ++m_PublishCalls;
    if (m_StoreDown)
      return failure(503, ErrorCode::PlatformUnavailable, Ran::No);
    const auto Earlier = m_Outcomes.find(Request.m_PublishId);
    if (Earlier != m_Outcomes.end())
      return good(Earlier->second);
    const ReadOutcome Read = readDocuments(Request.m_Documents, &m_Head);
    PublishReply Reply;
    Reply.m_Revision = m_Head.m_Revision;
    Reply.m_Faults = Read.m_Faults;
    if (!Read.m_Faults.empty())
      return good(Reply, 422);
    if (Request.m_Base != m_Head.m_Revision) {
      Reply.m_Outcome = PublishOutcome::Conflict;
      Reply.m_Winner = "zuzana";
      Reply.m_Changes = {{"team", "raced", ChangeKind::Added, {}}};
      return good(Reply, 409);
    }
    Reply.m_Changes = diffConfigurations(m_Head, Read.m_Configuration);
    Reply.m_Outcome = PublishOutcome::Checked;
    if (Request.m_DryRun)
      return good(Reply);
    publishAsOther(Read.m_Configuration);
    m_Head.m_Lifted = Request.m_Lifted;
    m_Published.push_back(Request);
    Reply.m_Outcome = PublishOutcome::SingleCopy;
    Reply.m_Revision = m_Head.m_Revision;
    m_Outcomes[Request.m_PublishId] = Reply;
    if (m_LoseAnswers-- > 0)
      return Error{ErrorCode::UpstreamBroken, "ask daemon", "daemon", Ran::Unknown, "closed"};
    return good(Reply);
  }

  StatusReply status(std::uint16_t Port) {
    StatusReply Reply;
    Reply.m_Instance = InstanceId(nameOfPort(Port));
    Reply.m_Revision = m_Head.m_Revision;
    Reply.m_Restrictions = m_Restrictions[Port];
    Reply.m_StoreReachable = !m_StoreDown;
    for (std::uint16_t Each = 1; Each <= Ports; ++Each)
      if (Each != Port) // A status does not list the daemon that answers.
        Reply.m_Instances.push_back({InstanceId(nameOfPort(Each)), DomainId("west-a"),
                                     "127.0.0.1:" + std::to_string(Each), "live", m_Head.m_Revision});
    return Reply;
  }

  InForceReply inForce() const {
    InForceReply Reply;
    Reply.m_Revision = m_Head.m_Revision;
    Reply.m_SecondCopy = true;
    for (std::uint16_t Each = 1; Each <= Ports; ++Each)
      (m_Behind.contains(Each) ? Reply.m_Missing : Reply.m_Confirmed).emplace_back(nameOfPort(Each));
    Reply.m_InForce = Reply.m_Missing.empty();
    return Reply;
  }

  std::map<PublishId, PublishReply> m_Outcomes;
  RandomHook m_Random = seededRandom(7);
  TimePoint m_Now{};
};

} // namespace bulrushpitch::testing

#endif // BULRUSHPITCH_CLIENT_TESTS_FAKE_FLEET_H
