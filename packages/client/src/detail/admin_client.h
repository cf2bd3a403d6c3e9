#ifndef BULRUSHPITCH_CLIENT_DETAIL_ADMIN_CLIENT_H
#define BULRUSHPITCH_CLIENT_DETAIL_ADMIN_CLIENT_H

#include "bulrushpitch/client/client.h"
#include "bulrushpitch/config/admin_api.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushpitch::detail {

/// @brief Options that every command has.
struct CommonOptions {
  std::vector<Endpoint> m_Daemons;
  bool m_Json = false;
  std::string m_Operator;
  Duration m_Timeout = std::chrono::seconds(10);
  Duration m_Wait = std::chrono::seconds(15);
  bool m_DryRun = false;
};

/// @brief Speaks to the daemons' operator interface, and goes on to the next daemon when one cannot answer.
class AdminClient {
public:
  AdminClient(const CommonOptions &Options, const ClientHooks &Hooks) : m_Options(Options), m_Hooks(Hooks) {}

  /// @brief Asks the daemons in their order until one answers.
  template <typename Reply>
  Expected<Reply> get(std::string_view Path,
                      const std::vector<std::pair<std::string, std::string>> &Parameters = {}) const {
    return first<Reply>(makeGet(adminTarget(Path, Parameters)));
  }

  /// @brief Asks the daemons in their order until one answers.
  /// @return the body of the answer as it is
  Expected<std::string> getText(const std::string &Target) const;

  /// @brief Asks one daemon.
  template <typename Reply> Expected<Reply> getFrom(const Endpoint &Daemon, const std::string &Target) const {
    return decode<Reply>(Daemon, send(Daemon, makeGet(Target)));
  }
  template <typename Reply>
  Expected<Reply> postTo(const Endpoint &Daemon, std::string_view Path, std::string Body) const {
    return decode<Reply>(Daemon, send(Daemon, makePost(Path, std::move(Body))));
  }

  /// @brief Publishes. After a lost answer it asks again with the same publish id, which cannot publish
  /// twice.
  /// @return the reply; an error with `ran: unknown` if the outcome could not be learnt
  Expected<PublishReply> publish(const PublishRequest &Request) const;

  /// @brief Lists the daemons given, then the live instances that they name, each once.
  std::vector<Endpoint> allDaemons() const;

  const CommonOptions &options() const { return m_Options; }
  const ClientHooks &hooks() const { return m_Hooks; }

private:
  static HttpRequest makeGet(std::string Target);
  static HttpRequest makePost(std::string_view Path, std::string Body);
  Expected<HttpResponse> send(const Endpoint &Daemon, const HttpRequest &Request) const;
  static Error errorOf(const Endpoint &Daemon, const HttpResponse &Response);
  /// @return whether another daemon may succeed where this one failed
  static bool mayTryNext(const Error &Failure);
  Expected<PublishReply> publishOnce(const std::string &Body, bool &MayHaveRun) const;

  template <typename Reply>
  static Expected<Reply> decode(const Endpoint &Daemon, const Expected<HttpResponse> &Response) {
    if (!Response)
      return Response.error();
    if (Response->m_Status != 200 && Response->m_Status != 409 && Response->m_Status != 422)
      return errorOf(Daemon, *Response);
    Expected<Reply> Read = capture([&] { return decodeMessage<Reply>(Response->m_Body); });
    // Errors such as 308 also use status 409, with the usual error body.
    if (!Read && Response->m_Status != 200)
      return errorOf(Daemon, *Response);
    return Read;
  }

  template <typename Reply> Expected<Reply> first(const HttpRequest &Request) const {
    Error Last{ErrorCode::PeerUnreachable, "ask daemon", "", Ran::No, "no daemon is given; use --daemon"};
    for (const Endpoint &Daemon : m_Options.m_Daemons) {
      Expected<Reply> Answer = decode<Reply>(Daemon, send(Daemon, Request));
      if (Answer || !mayTryNext(Answer.error()))
        return Answer;
      Last = Answer.error();
    }
    return Last;
  }

  const CommonOptions &m_Options;
  const ClientHooks &m_Hooks;
};

/// @return the exit code for an error of a command that changed nothing
ExitCode exitCodeOf(const Error &Failure);

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_CLIENT_DETAIL_ADMIN_CLIENT_H
