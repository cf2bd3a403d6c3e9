#include "bulrushpitch/forward/model_choice.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using std::chrono::milliseconds;

namespace {

ModelAnswer answer(int Confidence) {
  ModelAnswer Given;
  Given.m_Models = {ModelId("small"), ModelId("middle"), ModelId("large")};
  Given.m_Confidence = Confidence;
  Given.m_UntilTarget = milliseconds(1800);
  Given.m_UntilDeadline = milliseconds(20000);
  return Given;
}

} // namespace

TEST_CASE("a confident answer is kept, a doubtful one goes to the largest model") {
  CHECK_FALSE(escalate(answer(90)).m_Model);
  CHECK(escalate(answer(10)).m_Model == std::size_t{2});
}

// Guards against engines that drown: the largest model's use must shrink as they slow down.
TEST_CASE("the busier the engines, the more doubtful answers are kept") {
  int Kept = 0;
  for (const int GapMs : {30, 90, 120, 200, 1000}) {
    int KeptNow = 0;
    for (int Confidence = 0; Confidence < 100; ++Confidence) {
      ModelAnswer Given = answer(Confidence);
      Given.m_EventGap = milliseconds(GapMs);
      KeptNow += escalate(Given).m_Model ? 0 : 1;
    }
    CHECK(KeptNow >= Kept);
    Kept = KeptNow;
  }
  CHECK(Kept >= 80);
  CHECK(Kept < 100);
}

TEST_CASE("the largest model's answer is kept whatever it thinks of it") {
  ModelAnswer Given = answer(10);
  Given.m_Model = 2;
  CHECK_FALSE(escalate(Given).m_Model);
}

TEST_CASE("an answer is kept when a larger model would come too late, or nothing is known of it") {
  ModelAnswer Late = answer(50);
  Late.m_LargestTakes = milliseconds(500);
  Late.m_UntilTarget = milliseconds(300);
  CHECK_FALSE(escalate(Late).m_Model);
  ModelAnswer Hopeless = answer(10);
  Hopeless.m_LargestTakes = milliseconds(500);
  Hopeless.m_UntilTarget = milliseconds(300);
  CHECK(escalate(Hopeless).m_Model);
  Hopeless.m_UntilDeadline = milliseconds(300);
  CHECK_FALSE(escalate(Hopeless).m_Model);
  ModelAnswer Silent = answer(10);
  Silent.m_Confidence.reset();
  CHECK_FALSE(escalate(Silent).m_Model);
  ModelAnswer Fixed = answer(10);
  Fixed.m_Models.clear();
  CHECK_FALSE(escalate(Fixed).m_Model);
}
