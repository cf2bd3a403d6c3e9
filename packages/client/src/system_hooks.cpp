#include "bulrushpitch/client/client.h"

#include "bulrushpitch/net/http_client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

namespace bulrushpitch {

namespace {

Expected<HttpResponse> sendOverHttp(const Endpoint &Daemon, const HttpRequest &Request, Duration Timeout) {
  boost::asio::io_context Context;
  HttpClient Client(Context, "ask daemon");
  std::optional<Expected<HttpResponse>> Answer;
  boost::asio::co_spawn(
      Context,
      [&]() -> boost::asio::awaitable<void> {
        Answer.emplace(co_await Client.exchange(Daemon, Request, Timeout));
        // An idle connection kept for reuse would hold the loop.
        Context.stop();
      },
      boost::asio::detached);
  Context.run();
  if (Answer)
    return std::move(*Answer);
  return Error{ErrorCode::Internal, "ask daemon", Daemon.toString(), Ran::Unknown, "the request did not end"};
}

std::vector<std::filesystem::path> expand(const std::filesystem::path &Path, std::error_code &Problem) {
  if (!std::filesystem::is_directory(Path, Problem))
    return {Path};
  std::vector<std::filesystem::path> Files;
  for (const std::filesystem::directory_entry &Entry : std::filesystem::directory_iterator(Path, Problem))
    if (Entry.path().extension() == ".yaml" || Entry.path().extension() == ".yml")
      Files.push_back(Entry.path());
  std::sort(Files.begin(), Files.end());
  return Files;
}

Expected<std::vector<DocumentFile>> readFiles(const std::vector<std::string> &Paths) {
  std::vector<DocumentFile> Files;
  for (const std::string &Path : Paths) {
    std::error_code Problem;
    for (const std::filesystem::path &File : expand(Path, Problem)) {
      std::ifstream In(File);
      std::ostringstream Text;
      Text << In.rdbuf();
      if (!In)
        return Error{ErrorCode::DocumentSyntax, "read files", File.string(), Ran::No, "cannot be read"};
      Files.push_back({File.string(), Text.str()});
    }
  }
  if (Files.empty())
    return Error{ErrorCode::DocumentSyntax, "read files", "", Ran::No, "there are no *.yaml files"};
  return Files;
}

} // namespace

ClientHooks systemHooks() {
  ClientHooks Hooks;
  Hooks.m_Send = sendOverHttp;
  Hooks.m_Now = systemClock();
  Hooks.m_Sleep = [](Duration Pause) { std::this_thread::sleep_for(Pause); };
  Hooks.m_Random = systemRandom();
  Hooks.m_ReadFiles = readFiles;
  Hooks.m_Out = &std::cout;
  Hooks.m_Error = &std::cerr;
  const char *User = std::getenv("USER");
  Hooks.m_User = User ? User : "unknown";
  return Hooks;
}

} // namespace bulrushpitch
