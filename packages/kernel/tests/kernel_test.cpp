#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/kernel/kernel.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;

namespace {

class RecordingService : public Service {
public:
  RecordingService(std::string Name, std::vector<std::string> &Log, bool Fails)
      : m_Name(std::move(Name)), m_Log(Log), m_Fails(Fails) {}

  Result<void> start() override {
    if (m_Fails)
      return fail(Error{ErrorCode::Internal, "start", m_Name, Ran::No, "told to fail"});
    m_Log.push_back("+" + m_Name);
    return {};
  }
  void stop() override { m_Log.push_back("-" + m_Name); }

private:
  std::string m_Name;
  std::vector<std::string> &m_Log;
  bool m_Fails;
};

} // namespace

TEST_CASE("a failed start stops the services that had started, the last one first") {
  std::vector<std::string> Log;
  Kernel Services;
  Services.add("a", std::make_shared<RecordingService>("a", Log, false));
  Services.add("b", std::make_shared<RecordingService>("b", Log, false));
  Services.add("c", std::make_shared<RecordingService>("c", Log, true));
  Expected<Done> Started = capture([&] { return Services.start(); });
  REQUIRE_FALSE(Started);
  CHECK(Started.error().m_Peer == "c");
  CHECK(Log == std::vector<std::string>{"+a", "+b", "-b", "-a"});
}

TEST_CASE("find reports error 902 for an unknown name") {
  Kernel Services;
  Expected<std::shared_ptr<Service>> Found = capture([&] { return Services.find<Service>("absent"); });
  REQUIRE_FALSE(Found);
  CHECK(Found.error().m_Code == ErrorCode::UnknownServiceName);
  Services.add("x", nullptr);
  CHECK_THROWS(Services.add("x", nullptr));
}
