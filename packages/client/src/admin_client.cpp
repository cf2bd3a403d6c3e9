#include "detail/admin_client.h"

#include "bulrushpitch/config/settings.h"

#include <algorithm>
#include <ostream>

namespace bulrushpitch::detail {

namespace {

// A daemon answers a repeated publish id from one row, so a few rounds suffice once the store answers again.
constexpr int PublishRounds = 6;
constexpr Duration PublishPause = std::chrono::milliseconds(500);

} // namespace

HttpRequest AdminClient::makeGet(std::string Target) {
  HttpRequest Request;
  Request.m_Target = std::move(Target);
  return Request;
}

HttpRequest AdminClient::makePost(std::string_view Path, std::string Body) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = Path;
  Request.m_Headers.add("Content-Type", "application/json");
  Request.m_Body = std::move(Body);
  return Request;
}

Expected<HttpResponse> AdminClient::send(const Endpoint &Daemon, const HttpRequest &Request) const {
  return m_Hooks.m_Send(Daemon, Request, m_Options.m_Timeout);
}

Expected<std::string> AdminClient::getText(const std::string &Target) const {
  Error Last{ErrorCode::PeerUnreachable, "ask daemon", "", Ran::No, "no daemon is given; use --daemon"};
  const HttpRequest Request = makeGet(Target);
  for (const Endpoint &Daemon : m_Options.m_Daemons) {
    const Expected<HttpResponse> Response = send(Daemon, Request);
    if (Response && Response->m_Status == 200)
      return Response->m_Body;
    Last = Response ? errorOf(Daemon, *Response) : Response.error();
    if (!mayTryNext(Last))
      break;
  }
  return Last;
}

Error AdminClient::errorOf(const Endpoint &Daemon, const HttpResponse &Response) {
  Error Failure = decodeError(Response.m_Body);
  if (Failure.m_Peer.empty())
    Failure.m_Peer = "daemon " + Daemon.toString();
  return Failure;
}

bool AdminClient::mayTryNext(const Error &Failure) {
  const int Family = static_cast<int>(Failure.m_Code) / 100;
  return Family >= 4 || Failure.m_Code == ErrorCode::NotReady || Failure.m_Ran == Ran::Unknown;
}

Expected<PublishReply> AdminClient::publishOnce(const std::string &Body, bool &MayHaveRun) const {
  Error Last{ErrorCode::PeerUnreachable, "publish", "", Ran::No, "no daemon is given; use --daemon"};
  for (const Endpoint &Daemon : m_Options.m_Daemons) {
    Expected<PublishReply> Answer = postTo<PublishReply>(Daemon, admin_path::Publish, Body);
    if (Answer)
      return Answer;
    MayHaveRun |= Answer.error().m_Ran != Ran::No;
    Last = Answer.error();
    if (!mayTryNext(Last))
      break;
    *m_Hooks.m_Error << "daemon " << Daemon.toString() << " did not publish: " << Last.toString() << "\n";
  }
  return Last;
}

Expected<PublishReply> AdminClient::publish(const PublishRequest &Request) const {
  const std::string Body = encodeMessage(Request);
  bool MayHaveRun = false;
  Expected<PublishReply> Answer = publishOnce(Body, MayHaveRun);
  for (int Round = 1; Round < PublishRounds && !Answer && MayHaveRun; ++Round) {
    *m_Hooks.m_Error << "the answer was lost; asking again with publish id " << Request.m_PublishId.value()
                     << "\n";
    m_Hooks.m_Sleep(PublishPause);
    Answer = publishOnce(Body, MayHaveRun);
  }
  if (Answer || !MayHaveRun)
    return Answer;
  Error Failure = Answer.error();
  Failure.m_Ran = Ran::Unknown;
  Failure.m_Step = "publish";
  return Failure;
}

std::vector<Endpoint> AdminClient::allDaemons() const {
  std::vector<Endpoint> All = m_Options.m_Daemons;
  const Expected<StatusReply> Status = get<StatusReply>(admin_path::Status);
  if (!Status)
    return All;
  for (const InstanceStatus &Instance : Status->m_Instances) {
    const Expected<SocketAddress> Read = capture([&] { return parseSocketAddress(Instance.m_Admin); });
    if (!Read)
      continue;
    const Endpoint Daemon{Read->m_Address, Read->m_Port};
    if (std::find(All.begin(), All.end(), Daemon) == All.end())
      All.push_back(Daemon);
  }
  return All;
}

ExitCode exitCodeOf(const Error &Failure) {
  if (Failure.m_Ran != Ran::No && Failure.m_Step == "publish")
    return ExitCode::OutcomeUnknown;
  const int Family = static_cast<int>(Failure.m_Code) / 100;
  return Family >= 5 && Family <= 7 ? ExitCode::Unreachable : ExitCode::Refused;
}

} // namespace bulrushpitch::detail
