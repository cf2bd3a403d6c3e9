#include "bulrushpitch/protocol/stream_assembler.h"
#include "plans.h"

#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>

using namespace bulrushpitch;
using namespace bulrushpitch::test;

namespace {

/// An engine's answer that reaches the caller through daemons which die, and engines which are lost.
class StreamWorld {
public:
  StreamWorld(const Plan &Planned, std::uint64_t Length) : m_Length(Length), m_Sim(Planned, 3) {}

  void run() {
    connect();
    for (const Fault &One : m_Sim.plan().m_Faults)
      m_Sim.at(TimePoint(ms(One.m_StartMs / 10)), [this, Kind = One.m_Kind] {
        if (Kind == FaultKind::Kill)
          connect(); // The daemon is lost: another one resumes the engine's stream by token and offset.
        else
          continueElsewhere(); // The engine is lost: another attempt goes on from the text so far.
      });
    m_Sim.runUntil(TimePoint(ms(30'000)));
  }
  std::string m_Received; ///< By the caller.
  bool m_Complete = false;
  bool m_Wrong = false; ///< A byte was delivered twice, out of order or from an attempt that was not current.

private:
  /// Each attempt generates other text, so that a byte of an earlier attempt is seen to be wrong.
  char byteAt(std::uint64_t Offset) const {
    return static_cast<char>('a' + (Offset * 7 + m_Attempt * 3) % 26);
  }
  AttemptId attempt() const { return AttemptId("a" + std::to_string(m_Attempt)); }

  void connect() {
    if (m_Complete)
      return;
    ++m_Connection;
    m_Assembler = std::make_unique<StreamAssembler>(attempt(), m_Received.size());
    // The engine sends from its memory, in frames that may begin before the offset that the caller asked for.
    stream(m_Received.size() - std::min<std::uint64_t>(m_Received.size(), m_Sim.below(5)));
  }
  void continueElsewhere() {
    if (m_Complete)
      return;
    ++m_Attempt;
    if (!mutation("assembler-switch"))
      m_Assembler->switchTo(attempt());
    stream(m_Received.size());
  }

  /// Frames arrive late, repeated, merged and out of order. Those of an earlier attempt go on arriving.
  void stream(std::uint64_t From) {
    std::int64_t SentMs = 0;
    for (std::uint64_t Offset = From; Offset < m_Length; SentMs += 5) {
      const std::uint64_t Size = std::min<std::uint64_t>(m_Length - Offset, 1 + m_Sim.below(8));
      send(SentMs, Offset, Size);
      if (m_Sim.chance(0.1))
        send(SentMs + 20, Offset, std::min(m_Length - Offset, Size + m_Sim.below(12)));
      Offset += Size;
    }
    send(SentMs, m_Length, 0);
  }
  void send(std::int64_t SentMs, std::uint64_t Offset, std::uint64_t Size) {
    StreamFrame Frame{attempt(), Offset, "", Offset == m_Length};
    for (std::uint64_t Place = Offset; Place < Offset + Size; ++Place)
      Frame.m_Text += byteAt(Place);
    m_Sim.after(ms(SentMs) + m_Sim.between(1, 120),
                [this, Frame, Connection = m_Connection] { arrive(Frame, Connection); });
  }
  void arrive(StreamFrame Frame, int Connection) {
    if (Connection != m_Connection)
      return; // The connection died with its daemon.
    if (mutation("assembler-order")) {
      deliver(Frame);
      return;
    }
    if (mutation("assembler-switch"))
      Frame.m_Attempt = AttemptId("a0");
    for (const StreamFrame &Ready : m_Assembler->frame(Frame))
      deliver(Ready);
  }
  void deliver(const StreamFrame &Ready) {
    m_Wrong = m_Wrong || m_Complete || Ready.m_Offset != m_Received.size();
    for (char Byte : Ready.m_Text) {
      m_Wrong = m_Wrong || Byte != byteAt(m_Received.size());
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

TEST_CASE("guarantee 7: a caller gets the whole answer, each byte once and in order") {
  CHECK(rc::check("whole answers", [] {
    const std::uint64_t Length = *full(rc::gen::inRange<std::uint64_t>(0, 1'500));
    StreamWorld World(drawPlan({FaultKind::Kill, FaultKind::Cold}, 4), Length);
    World.run();
    RC_ASSERT(!World.m_Wrong);
    RC_ASSERT(World.m_Complete);
    RC_ASSERT(World.m_Received.size() == Length);
  }));
}

TEST_CASE("frames of a cancelled attempt are dropped, also those that waited for a gap") {
  StreamAssembler Assembler(AttemptId("a"));
  CHECK(Assembler.frame({AttemptId("a"), 0, "x", false}).size() == 1);
  CHECK(Assembler.frame({AttemptId("a"), 2, "z", false}).empty());
  Assembler.switchTo(AttemptId("b"));
  CHECK(Assembler.frame({AttemptId("a"), 1, "y", false}).empty());
  CHECK(Assembler.frame({AttemptId("b"), 1, "Y", false}).size() == 1);
  CHECK(Assembler.dropped() == 2);
  CHECK(Assembler.next() == 2);
}
