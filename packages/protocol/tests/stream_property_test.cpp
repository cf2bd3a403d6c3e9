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
  std::vector<std::string> m_Received; ///< By the caller.
  bool m_Complete = false;

private:
  /// Token n of an attempt; the caller must see n of the attempt that was current when n was delivered.
  static std::string token(std::uint64_t Offset) { return "t" + std::to_string(Offset); }

  void connect() {
    if (m_Complete)
      return;
    ++m_Connection;
    m_Assembler = std::make_unique<StreamAssembler>(attempt(), m_Received.size());
    stream(m_Received.size());
  }
  void continueElsewhere() {
    if (m_Complete)
      return;
    ++m_Attempt;
    if (!mutation("assembler-switch"))
      m_Assembler->switchTo(attempt());
    stream(m_Received.size());
  }
  AttemptId attempt() const { return AttemptId("a" + std::to_string(m_Attempt)); }

  /// Frames arrive late, repeated and out of order. Those of an earlier attempt go on arriving with other
  /// text.
  void stream(std::uint64_t From) {
    for (std::uint64_t Offset = From; Offset <= m_Length; ++Offset) {
      const bool End = Offset == m_Length;
      const StreamFrame Frame{attempt(), Offset, End ? "" : attempt().value() + token(Offset), End};
      const int Copies = m_Sim.chance(0.1) ? 2 : 1;
      for (int Copy = 0; Copy < Copies; ++Copy)
        m_Sim.after(ms(static_cast<std::int64_t>(Offset - From) * 5) + m_Sim.between(1, 120),
                    [this, Frame, Connection = m_Connection] { arrive(Frame, Connection); });
    }
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
    if (Ready.m_End)
      m_Complete = true;
    else
      m_Received.push_back(Ready.m_Text);
    // Every delivered token must come from the current attempt and have the next offset.
    const std::string Expected = attempt().value() + token(m_Received.size() - 1);
    if (!Ready.m_End && Ready.m_Text != Expected)
      m_Wrong = true;
  }

public:
  bool m_Wrong = false;

private:
  std::uint64_t m_Length;
  Simulation m_Sim;
  std::unique_ptr<StreamAssembler> m_Assembler;
  int m_Attempt = 0;
  int m_Connection = 0;
};

} // namespace

TEST_CASE("guarantee 7: a caller gets the whole answer, each token once and in order") {
  CHECK(rc::check("whole answers", [] {
    const std::uint64_t Length = *full(rc::gen::inRange<std::uint64_t>(0, 300));
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
