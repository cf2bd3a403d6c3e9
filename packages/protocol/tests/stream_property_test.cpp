#include "bulrushpitch/protocol/stream_assembler.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

/// Simulates a streamed response that reaches the caller although daemons and engines fail.
class StreamSimulation {
public:
  StreamSimulation(const Plan &Planned, std::uint64_t Length) : m_Length(Length), m_Sim(Planned, 3) {}

  void run() {
    connect();
    for (const Fault &Injected : m_Sim.plan().m_Faults)
      m_Sim.scheduleAt(TimePoint(ms(Injected.m_StartMs / 10)), [this, Kind = Injected.m_Kind] {
        if (Kind == FaultKind::Kill)
          connect(); // The daemon failed: another one resumes the engine's stream by resume token and offset.
        else
          continueAtOtherEngine(); // The engine failed: another attempt continues after the delivered text.
      });
    m_Sim.runUntil(TimePoint(ms(30'000)));
  }
  std::string m_Received; ///< Text that the caller has received.
  bool m_Complete = false;
  bool m_HasWrongByte = false; ///< A byte was delivered twice, out of order or from an earlier attempt.

private:
  /// Each attempt generates different text, so that bytes of an earlier attempt are detected.
  char byteAt(std::uint64_t Offset) const {
    return static_cast<char>('a' + (Offset * 7 + m_Attempt * 3) % 26);
  }
  AttemptId currentAttempt() const { return AttemptId("a" + std::to_string(m_Attempt)); }

  void connect() {
    if (m_Complete)
      return;
    ++m_Connection;
    m_Assembler = std::make_unique<StreamAssembler>(currentAttempt(), m_Received.size());
    // The engine resends buffered text, in frames that may begin before the requested offset.
    sendFrames(m_Received.size() - std::min<std::uint64_t>(m_Received.size(), m_Sim.randomBelow(5)));
  }
  void continueAtOtherEngine() {
    if (m_Complete)
      return;
    ++m_Attempt;
    if (!mutationEnabled("assembler-switch"))
      m_Assembler->switchAttempt(currentAttempt());
    sendFrames(m_Received.size());
  }

  /// Sends the frames of the current attempt, delayed, repeated, merged and out of order. Frames of an
  /// earlier attempt still arrive.
  void sendFrames(std::uint64_t From) {
    std::int64_t SendTimeMs = 0;
    for (std::uint64_t Offset = From; Offset < m_Length; SendTimeMs += 5) {
      const std::uint64_t Size = std::min<std::uint64_t>(m_Length - Offset, 1 + m_Sim.randomBelow(8));
      sendFrame(SendTimeMs, Offset, Size);
      if (m_Sim.randomChance(0.1))
        sendFrame(SendTimeMs + 20, Offset, std::min(m_Length - Offset, Size + m_Sim.randomBelow(12)));
      Offset += Size;
    }
    sendFrame(SendTimeMs, m_Length, 0);
  }
  void sendFrame(std::int64_t SendTimeMs, std::uint64_t Offset, std::uint64_t Size) {
    StreamFrame Frame{currentAttempt(), Offset, "", Offset == m_Length};
    for (std::uint64_t Position = Offset; Position < Offset + Size; ++Position)
      Frame.m_Text += byteAt(Position);
    m_Sim.scheduleAfter(ms(SendTimeMs) + m_Sim.randomDuration(1, 120),
                        [this, Frame, Connection = m_Connection] { receive(Frame, Connection); });
  }
  void receive(StreamFrame Frame, int Connection) {
    if (Connection != m_Connection)
      return; // The connection was closed when its daemon failed.
    if (mutationEnabled("assembler-order")) {
      deliver(Frame);
      return;
    }
    if (mutationEnabled("assembler-switch"))
      Frame.m_Attempt = AttemptId("a0");
    for (const StreamFrame &Ready : m_Assembler->addFrame(Frame))
      deliver(Ready);
  }
  void deliver(const StreamFrame &Ready) {
    m_HasWrongByte = m_HasWrongByte || m_Complete || Ready.m_Offset != m_Received.size();
    for (char Byte : Ready.m_Text) {
      m_HasWrongByte = m_HasWrongByte || Byte != byteAt(m_Received.size());
      m_Received += Byte;
    }
    m_Complete = m_Complete || Ready.m_End;
  }

  std::uint64_t m_Length;
  Simulation m_Sim;
  std::unique_ptr<StreamAssembler> m_Assembler;
  std::uint64_t m_Attempt = 0;
  int m_Connection = 0;
};

} // namespace

TEST_CASE("guarantee 7: a caller receives the whole response, each byte once and in order") {
  CHECK(rc::check("whole responses", [] {
    const std::uint64_t Length = *fullRange(rc::gen::inRange<std::uint64_t>(0, 1'500));
    StreamSimulation Sim(drawPlan({FaultKind::Kill, FaultKind::ColdRestart}, 4), Length);
    Sim.run();
    RC_ASSERT(!Sim.m_HasWrongByte);
    RC_ASSERT(Sim.m_Complete);
    RC_ASSERT(Sim.m_Received.size() == Length);
  }));
}

TEST_CASE("frames of a cancelled attempt are dropped, also those that were buffered behind a gap") {
  StreamAssembler Assembler(AttemptId("a"));
  CHECK(Assembler.addFrame({AttemptId("a"), 0, "x", false}).size() == 1);
  CHECK(Assembler.addFrame({AttemptId("a"), 2, "z", false}).empty());
  Assembler.switchAttempt(AttemptId("b"));
  CHECK(Assembler.addFrame({AttemptId("a"), 1, "y", false}).empty());
  CHECK(Assembler.addFrame({AttemptId("b"), 1, "Y", false}).size() == 1);
  CHECK(Assembler.dropped() == 2);
  CHECK(Assembler.nextOffset() == 2);
}
