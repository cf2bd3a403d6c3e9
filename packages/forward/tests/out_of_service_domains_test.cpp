#include "bulrushpitch/forward/out_of_service_domains.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using std::chrono::seconds;

namespace {

const DomainId West("west-a");
const DomainId Hill("hill-a");

struct Fixture {
  OutOfServiceDomains m_Domains;
  TimePoint m_Now{seconds(100)};
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a domain is out of service from its order until the order's removal") {
  m_Domains.update({West, Hill}, {});
  CHECK(m_Domains.domains() == std::set<DomainId>{West, Hill});
  m_Domains.update({}, {West});
  CHECK(m_Domains.domains() == std::set<DomainId>{Hill});
  m_Domains.replaceAll({West});
  CHECK(m_Domains.domains() == std::set<DomainId>{West});
}

// Guards against requests to a domain out of service, because the store has lost the order.
TEST_CASE_FIXTURE(Fixture,
                  "an order that a restored store has lost stays in force until it is written again") {
  m_Domains.update({West}, {});
  m_Domains.replaceAllAfterRestore({}, m_Now);
  CHECK(m_Domains.domains() == std::set<DomainId>{West});
  m_Now += seconds(13);
  CHECK(m_Domains.expire(m_Now).empty());
  CHECK(m_Domains.domains() == std::set<DomainId>{West});
  m_Domains.update({West}, {});
  m_Now += seconds(60);
  CHECK(m_Domains.expire(m_Now).empty());
  CHECK(m_Domains.domains() == std::set<DomainId>{West});
}

// Guards against a domain that stays out for good, because nobody writes the order again.
TEST_CASE_FIXTURE(Fixture, "an order that nobody writes again after a restore ends with the hold") {
  m_Domains.update({West}, {});
  m_Domains.replaceAllAfterRestore({}, m_Now);
  const std::optional<TimePoint> End = m_Domains.heldUntil(West);
  REQUIRE(End);
  CHECK(*End == m_Now + seconds(14));
  CHECK(m_Domains.expire(*End) == std::vector<DomainId>{West});
  CHECK(m_Domains.domains().empty());
}

TEST_CASE_FIXTURE(Fixture, "the removal of a held order ends it at once") {
  m_Domains.update({West}, {});
  m_Domains.replaceAllAfterRestore({}, m_Now);
  m_Domains.update({}, {West});
  CHECK(m_Domains.domains().empty());
  CHECK(m_Domains.expire(m_Now + seconds(60)).empty());
}

// Guards against requests to a domain out of service when the store loses its history soon after a restore.
TEST_CASE_FIXTURE(Fixture, "an ordinary snapshot does not end a hold") {
  m_Domains.update({West}, {});
  m_Domains.replaceAllAfterRestore({}, m_Now);
  m_Domains.replaceAll({Hill});
  CHECK(m_Domains.domains() == std::set<DomainId>{West, Hill});
  m_Domains.replaceAll({West});
  CHECK_FALSE(m_Domains.heldUntil(West));
  CHECK(m_Domains.domains() == std::set<DomainId>{West});
}

// Guards against requests to a domain that operators took out after the store's return.
TEST_CASE_FIXTURE(Fixture, "a domain that had returned is out while a restored store has its order") {
  m_Domains.update({West}, {});
  m_Domains.update({}, {West});
  m_Domains.replaceAllAfterRestore({West}, m_Now);
  CHECK(m_Domains.domains() == std::set<DomainId>{West});
  CHECK_FALSE(m_Domains.heldUntil(West));
  m_Domains.update({}, {West});
  CHECK(m_Domains.domains().empty());
}

TEST_CASE_FIXTURE(Fixture, "a second restore begins the hold anew") {
  m_Domains.update({West}, {});
  m_Domains.replaceAllAfterRestore({}, m_Now);
  m_Domains.replaceAllAfterRestore({}, m_Now + seconds(10));
  CHECK(m_Domains.expire(m_Now + seconds(20)).empty());
  CHECK(m_Domains.expire(m_Now + seconds(24)) == std::vector<DomainId>{West});
}
