#include "raw_server.h"

#include "bulrushpitch/net/net.h"

#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include <cstdlib>
#include <optional>
#include <random>
#include <sstream>

/// @file
/// @brief Random framings of responses, whole, damaged and cut, in random pieces. FRAMING_FUZZ_SEED and
/// FRAMING_FUZZ_ROUNDS replace the seed and the number of responses.

using namespace bulrushpitch;
using bulrushpitch::testing::RawEnd;
using bulrushpitch::testing::RawReply;
using bulrushpitch::testing::RawServer;
using std::chrono::milliseconds;
namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxBodyBytes = 64UL * 1024;
constexpr milliseconds CallTimeout{150};
/// Time after its timeout at which a call counts as stuck, on a busy machine.
constexpr milliseconds MaxOverrun{2000};
/// What a server can send for one call: the client's limit of what comes before a response, and the buffers
/// of sockets.
constexpr std::size_t MaxSentBytes = 32UL * 1024 * 1024;

using Random = std::mt19937_64;

std::size_t below(Random &Source, std::size_t Limit) { return Limit == 0 ? 0 : Source() % Limit; }
bool oneIn(Random &Source, std::size_t Count) { return below(Source, Count) == 0; }

unsigned numberFromEnvironment(const char *Name, unsigned Default) {
  const char *Text = std::getenv(Name);
  return Text ? static_cast<unsigned>(std::strtoul(Text, nullptr, 10)) : Default;
}

enum class Framing : std::uint8_t { Length, Chunks, Connection };

/// What a server sends for one request, and what its client may make of it.
struct Answer {
  std::string m_Bytes;
  std::string m_Body;
  Framing m_Framing = Framing::Length;
  bool m_Damaged = false; ///< The bytes may be no response, or another one.
  bool m_Cut = false; ///< The end is missing; with Framing::Connection the body is then what has been sent.
  bool m_Surplus = false; ///< Bytes that belong to no request follow.
  std::string m_Head;     ///< With all that comes before it, undamaged.
  RawReply m_Reply;
};

std::string chunked(const std::string &Body, Random &Source) {
  std::ostringstream Text;
  for (std::size_t At = 0; At < Body.size();) {
    const std::size_t Size = 1 + below(Source, Body.size() - At);
    Text << std::hex << Size << (oneIn(Source, 4) ? ";name=\"value\"" : "") << "\r\n"
         << Body.substr(At, Size) << "\r\n";
    At += Size;
  }
  Text << "0\r\n" << (oneIn(Source, 3) ? "Trailer-Field: value\r\n" : "") << "\r\n";
  return Text.str();
}

/// The body names its request, so that foreign bytes are recognized.
std::string bodyOf(int Number, Random &Source) {
  std::string Body;
  const std::size_t Size = oneIn(Source, 8) ? below(Source, MaxBodyBytes) : below(Source, 300);
  while (Body.size() < Size)
    Body += "body of request " + std::to_string(Number) + ";";
  return Body;
}

Answer makeAnswer(int Number, Random &Source) {
  Answer Made;
  Made.m_Body = bodyOf(Number, Source);
  Made.m_Framing = static_cast<Framing>(below(Source, 3));
  std::string Head;
  while (oneIn(Source, 5))
    Head += "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  if (oneIn(Source, 5))
    Head += "HTTP/1.1 200 OK\r\nNumber: 0\r\nContent-Length: 5\r\n\r\nother";
  Head += "HTTP/1.1 200 OK\r\nNumber: " + std::to_string(Number) + "\r\n";
  if (Made.m_Framing == Framing::Length)
    Head += "Content-Length: " + std::to_string(Made.m_Body.size()) + "\r\n";
  if (Made.m_Framing == Framing::Chunks)
    Head += "Transfer-Encoding: chunked\r\n";
  Head += "\r\n";
  Made.m_Head = Head;
  Made.m_Bytes = Head + (Made.m_Framing == Framing::Chunks ? chunked(Made.m_Body, Source) : Made.m_Body);
  return Made;
}

/// Ends the response anywhere, often in a chunk's extension or a trailer or before the head, with bytes
/// without end.
void flood(Answer &Made, Random &Source) {
  static const std::vector<std::string> Repeated{
      "a",
      "1",
      ";",
      "\n",
      "Name: value\r\n",
      "HTTP/1.1 103 Early Hints\r\n\r\n",
      "HTTP/1.1 200 OK\r\nNumber: 0\r\nContent-Length: 5\r\n\r\nother"};
  static const std::vector<std::string> Places{";name=", "\r\n0\r\n", "HTTP/1.1 200 OK\r\nNumber"};
  std::string &Bytes = Made.m_Bytes;
  std::size_t At = below(Source, Bytes.size());
  const std::string &Place = Places[below(Source, Places.size())];
  if (const std::size_t Found = Bytes.find(Place); Found != std::string::npos && !oneIn(Source, 3))
    At = Place.starts_with("HTTP") ? Found : Found + Place.size();
  Bytes.resize(At);
  const std::string &Part = Repeated[below(Source, Repeated.size())];
  while (Made.m_Reply.m_Repeated.size() < 16UL * 1024)
    Made.m_Reply.m_Repeated += Part;
  Made.m_Reply.m_MaxRepeatedBytes = 4 * MaxSentBytes;
}

/// Flips, drops or adds bytes anywhere.
void damage(Answer &Made, Random &Source) {
  Made.m_Damaged = true;
  std::string &Bytes = Made.m_Bytes;
  const std::size_t At = below(Source, Bytes.size());
  switch (below(Source, 4)) {
  case 0:
    Bytes[At] = static_cast<char>(Source());
    break;
  case 1:
    Bytes.erase(At, 1 + below(Source, 4));
    break;
  case 2:
    Bytes.insert(At, oneIn(Source, 2) ? "\r\n" : "0");
    break;
  default:
    flood(Made, Source);
    break;
  }
}

void cutIntoPieces(Answer &Made, Random &Source) {
  if (oneIn(Source, 2)) {
    Made.m_Reply.m_Pieces = {Made.m_Bytes};
    return;
  }
  for (std::size_t At = 0; At < Made.m_Bytes.size();) {
    const std::size_t Size = 1 + below(Source, oneIn(Source, 2) ? 8 : Made.m_Bytes.size() - At);
    // Small pieces at the start only, so that a long body does not outlast the timeout.
    const std::size_t Taken = Made.m_Reply.m_Pieces.size() < 200 ? Size : Made.m_Bytes.size() - At;
    Made.m_Reply.m_Pieces.push_back(Made.m_Bytes.substr(At, Taken));
    At += Taken;
  }
}

Answer randomAnswer(int Number, Random &Source) {
  Answer Made = makeAnswer(Number, Source);
  Made.m_Reply.m_End = Made.m_Framing == Framing::Connection ? RawEnd::Close : RawEnd::NextRequest;
  if (oneIn(Source, 4)) {
    damage(Made, Source);
  } else if (oneIn(Source, 3)) {
    Made.m_Cut = true;
    Made.m_Bytes.resize(below(Source, Made.m_Bytes.size()));
    Made.m_Reply.m_End = static_cast<RawEnd>(below(Source, 3));
    if (Made.m_Framing == Framing::Connection && Made.m_Bytes.size() >= Made.m_Head.size())
      Made.m_Body = Made.m_Bytes.substr(Made.m_Head.size());
  } else if (oneIn(Source, 5) && Made.m_Framing != Framing::Connection) {
    Made.m_Surplus = true;
    Made.m_Bytes +=
        oneIn(Source, 2) ? "HTTP/1.1 200 OK\r\nNumber: 0\r\nContent-Length: 7\r\n\r\nforeign" : "foreign";
  }
  cutIntoPieces(Made, Source);
  return Made;
}

/// One client and one server, whose connections are reused where the responses allow it.
struct Fuzz {
  explicit Fuzz(unsigned Seed)
      : m_Random(Seed), m_Server(m_Context, [this](const std::string &, int) { return m_Current.m_Reply; }) {}

  asio::awaitable<void> call(int Number, std::optional<Expected<std::string>> &Outcome) {
    CallOptions Options;
    Options.m_HeadTimeout = CallTimeout;
    Options.m_Belongs = [Number](const HttpHeaders &Headers) {
      return Headers.find("Number") == std::string_view(std::to_string(Number));
    };
    const TimePoint End = systemClock()() + CallTimeout;
    HttpRequest Request;
    Expected<std::unique_ptr<HttpStream>> Opened =
        co_await m_Client.open(m_Server.address(), std::move(Request), std::move(Options));
    if (!Opened) {
      Outcome = Opened.error();
      co_return;
    }
    std::string Body;
    while (true) {
      Expected<std::optional<std::string>> Part = co_await (*Opened)->read(End - systemClock()());
      if (!Part || !*Part) {
        Outcome = Part ? Expected<std::string>(std::move(Body)) : Expected<std::string>(Part.error());
        co_return;
      }
      Body += **Part;
      if (Body.size() > 2 * MaxBodyBytes) {
        Outcome = Error{ErrorCode::UpstreamProtocol, "test", "", Ran::Unknown, "too long"};
        co_return;
      }
    }
  }

  /// @return whether the caller's outcome is right
  bool round(int Number) {
    // What is left of such a response may arrive only after the next request has been sent.
    m_MayMeetRest = m_Current.m_Damaged || m_Current.m_Surplus;
    m_Current = randomAnswer(Number, m_Random);
    const std::size_t SentBefore = m_Server.bytesSent();
    std::optional<Expected<std::string>> Outcome;
    spawn(m_Context, call(Number, Outcome));
    const TimePoint End = systemClock()() + CallTimeout + MaxOverrun;
    while (!Outcome && systemClock()() < End)
      m_Context.run_one_for(milliseconds(20));
    if (!Outcome)
      return false;
    return m_Server.bytesSent() - SentBefore < MaxSentBytes && isRight(*Outcome);
  }

  bool isRight(const Expected<std::string> &Outcome) const {
    if (!Outcome)
      return (m_Current.m_Damaged || m_Current.m_Cut || m_MayMeetRest) &&
             Outcome.error().m_Ran == Ran::Unknown;
    if (!m_Current.m_Reply.m_Repeated.empty())
      return *Outcome == bodyFilledByFlood();
    // A damaged body may come whole, but never with another request's bytes.
    if (m_Current.m_Damaged)
      return Outcome->find("foreign") == std::string::npos && Outcome->find("other") == std::string::npos;
    const bool EndSeen = !m_Current.m_Cut || (m_Current.m_Framing == Framing::Connection &&
                                              m_Current.m_Bytes.size() >= m_Current.m_Head.size() &&
                                              m_Current.m_Reply.m_End == RawEnd::Close);
    return EndSeen && *Outcome == m_Current.m_Body;
  }

  /// @return the only body that may pass for a whole one if a flood takes the place of the response's end
  std::string bodyFilledByFlood() const {
    if (m_Current.m_Framing == Framing::Chunks)
      return m_Current.m_Body;
    // The flood may complete a head that was cut just before its end.
    const std::size_t Size = m_Current.m_Head.size() + m_Current.m_Body.size();
    std::string Sent = m_Current.m_Bytes;
    while (Sent.size() < Size)
      Sent += m_Current.m_Reply.m_Repeated;
    if (m_Current.m_Framing != Framing::Length || !Sent.starts_with(m_Current.m_Head))
      return "no body may pass";
    return Sent.substr(m_Current.m_Head.size(), m_Current.m_Body.size());
  }

  asio::io_context m_Context;
  Random m_Random;
  Answer m_Current;
  bool m_MayMeetRest = false;
  RawServer m_Server;
  HttpClient m_Client{m_Context, "test"};
};

} // namespace

// Guards against a cut, damaged or foreign response that passes for a whole one, and against stuck calls.
TEST_CASE("random framings of responses give the whole response or an error in time") {
  const unsigned Seed = numberFromEnvironment("FRAMING_FUZZ_SEED", 1);
  const int Rounds = static_cast<int>(numberFromEnvironment("FRAMING_FUZZ_ROUNDS", 150));
  CAPTURE(Seed);
  Fuzz Test(Seed);
  for (int Number = 1; Number <= Rounds; ++Number) {
    CAPTURE(Number);
    const bool Right = Test.round(Number);
    CAPTURE(Test.m_Current.m_Bytes.substr(0, 400));
    CAPTURE(Test.m_Current.m_Cut);
    CAPTURE(Test.m_Current.m_Damaged);
    REQUIRE(Right);
  }
  MESSAGE(Rounds << " responses on " << Test.m_Server.connections() << " connections");
}
