#include "support.h"

#include "bulrushpitch/core/expected.h"

#include <doctest/doctest.h>

using namespace bulrushpitch;
using namespace bulrushpitch::testing;

TEST_CASE("the example settings are valid, and printing them shows defaults but no secret") {
  for (const char *User : {"ampara", "dlazdice"}) {
    const SettingsOutcome Read =
        checkSettings(readFile(std::string("examples/settings/") + User + ".yaml"), "x");
    REQUIRE(Read.m_Faults.empty());
    REQUIRE(Read.m_Settings.m_TokenKeys.size() == 2);
    CHECK(Read.m_Settings.m_TokenKeys.front().m_Secret.size() == 32);
    std::string Printed = printEffective(Read.m_Settings);
    CHECK(Printed.find("  idle_timeout: \"60 s\"\n") != std::string::npos);
    std::size_t Hidden = 0;
    for (std::size_t At = 0; (At = Printed.find("\"<32 bytes>\"")) != std::string::npos; ++Hidden)
      Printed.replace(At, 12, "\"00000000000000000000000000000000\"");
    CHECK(Hidden == 2);
    SettingsOutcome Again = checkSettings(Printed, "printed");
    REQUIRE(Again.m_Faults.empty());
    Again.m_Settings.m_TokenKeys = Read.m_Settings.m_TokenKeys;
    CHECK(Again.m_Settings == Read.m_Settings);
  }
}

// Guards against a daemon that starts with settings other than those its operator meant.
TEST_CASE("every fault of a settings file is named at once") {
  const SettingsOutcome Read = checkSettings("instance: a\n"
                                             "region: west\n"
                                             "listen:\n"
                                             "  callers: localhost:80\n"
                                             "  admin: 127.0.0.1:7001\n"
                                             "  peers: 127.0.0.1:7001\n"
                                             "platform:\n"
                                             "  region: west\n"
                                             "  table: 127.0.0.1:70000\n"
                                             "  object_store: \"[::1]:7100\"\n"
                                             "  instance_list: ::1:7100\n"
                                             "  rating: 127.0.0.1:7100\n"
                                             "token_keys:\n"
                                             "  - id: a\n"
                                             "    secret: xyz\n"
                                             "  - id: a\n"
                                             "    secret: 00112233445566778899aabbccddeeff\n"
                                             "drain_deadline: 30 sec\n"
                                             "balancer_dealy: 1 s\n"
                                             "http:\n"
                                             "  max_connections: 0\n",
                                             "d.yaml");
  std::string Text;
  for (const Fault &Found : Read.m_Faults)
    Text += std::to_string(Found.m_Line) + " " + std::to_string(static_cast<int>(Found.m_Code)) + " " +
            Found.m_Field + " " + Found.m_Hint + "\n";
  CHECK(Text == "1 303 failure_domain \n"
                "4 304 listen.callers \n"
                "9 304 platform.table \n"
                "11 304 platform.instance_list \n"
                "7 303 platform.weight_store \n"
                "15 304 token_keys.0.secret \n"
                "18 304 drain_deadline \n"
                "21 304 http.max_connections \n"
                "19 302 balancer_dealy balancer_delay\n"
                "6 304 listen.peers \n"
                "16 304 token_keys.1.id \n");
  CHECK(checkSettings("", "d.yaml").m_Faults.size() == 1);
  CHECK(checkSettings("a: 1\n---\nb: 2\n", "d.yaml").m_Faults.size() == 1);
}

TEST_CASE("addresses are IP numbers with a port") {
  CHECK(capture([] { return parseSocketAddress("[::1]:80"); })->toString() == "[::1]:80");
  CHECK(capture([] { return parseSocketAddress("10.0.0.1:65535"); })->m_Port == 65535);
  for (const char *Text : {"", ":", "1.2.3.4", "1.2.3.4:", "1.2.3.4:0", "1.2.3.4:65536", "[1.2.3.4]:1",
                           "::1:1", "1.2.3.4:1x", "host:1", "[]:1"})
    CHECK_MESSAGE(!capture([&] { return parseSocketAddress(Text); }), Text);
}
