#include "bulrushpitch/platform/detail/wire.h"
#include "bulrushpitch/platform/testing/memory_table.h"

#include "bulrushpitch/core/clock.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace bulrushpitch;
using namespace bulrushpitch::detail;
using bulrushpitch::testing::MemoryTable;

namespace {

/// Calls every decoder; it may return an error but must neither throw nor read outside the body.
void decodeAll(const std::string &Body) {
  const std::vector<RowWrite> Writes(2, RowWrite{"a", "b", WriteCondition::Any, 0, false});
  static_cast<void>(decodeTransaction(Body));
  static_cast<void>(decodeRow(Body));
  static_cast<void>(decodeRows(Body));
  static_cast<void>(decodeCommit(Body, Writes));
  static_cast<void>(decodePutResponse(Body));
  static_cast<void>(decodeInstances(Body));
  static_cast<void>(decodeVersions(Body));
  static_cast<void>(decodeErrorBody(Body));
  static_cast<void>(parseEndpoint(Body));
  static_cast<void>(percentDecode(Body));
  const Expected<double> Quality = decodeRating(Body);
  if (Quality)
    CHECK((*Quality >= 0.0 && *Quality <= 1.0));
}

const std::vector<std::string> &validBodies() {
  static const std::vector<std::string> Bodies{
      R"({"row":{"key":"a","value":"b","rowVersion":7}})",
      R"({"committed":true,"rows":[{"key":"a","value":"b","rowVersion":8},{"key":"a","value":"","rowVersion":0}],"written":[true,false]})",
      R"({"instances":[{"name":"d","kind":"daemon","domain":"w","address":"127.0.0.1:1","admin":"127.0.0.1:2","startId":"s","leaving":false}]})",
      R"({"quality":0.83})",
      R"({"versions":["a","b"]})",
      R"({"error":"x","ran":"no"})"};
  return Bodies;
}

RowWrite arbitraryWrite(std::size_t Key) {
  const WriteCondition Condition = *rc::gen::element(WriteCondition::Any, WriteCondition::Absent,
                                                     WriteCondition::Version, WriteCondition::SkipIfPresent);
  return RowWrite{"k" + std::to_string(Key), std::to_string(*rc::gen::inRange(0, 100)), Condition,
                  *rc::gen::inRange<std::uint64_t>(0, 4), *rc::gen::inRange(0, 4) == 0};
}

/// Reference implementation of the table semantics in platform.h and docs/protocols.md, on plain maps.
struct ReferenceTable {
  std::map<std::string, std::string> m_Values;
  std::map<std::string, std::uint64_t> m_Versions; ///< Kept when the row is erased.

  std::uint64_t visibleVersion(const std::string &Key) const {
    return m_Values.contains(Key) ? m_Versions.at(Key) : 0;
  }
  bool conditionHolds(const RowWrite &Write) const {
    if (Write.m_Condition == WriteCondition::Absent)
      return !m_Values.contains(Write.m_Key);
    if (Write.m_Condition == WriteCondition::Version)
      return visibleVersion(Write.m_Key) == Write.m_ExpectedVersion;
    return true;
  }
  /// @return whether the write took effect
  bool apply(const RowWrite &Write) {
    if (Write.m_Condition == WriteCondition::SkipIfPresent && m_Values.contains(Write.m_Key))
      return false;
    ++m_Versions[Write.m_Key];
    if (Write.m_Erase)
      m_Values.erase(Write.m_Key);
    else
      m_Values[Write.m_Key] = Write.m_Value;
    return true;
  }
};

} // namespace

TEST_CASE("a transaction writes all rows or none, depending on its conditions") {
  CHECK(rc::check([] {
    MemoryTable Table;
    ReferenceTable Reference;
    const int Transactions = *rc::gen::inRange(1, 12);
    for (int Round = 0; Round < Transactions; ++Round) {
      std::vector<RowWrite> Writes;
      for (std::size_t Key = 0; Key < 4; ++Key)
        if (*rc::gen::arbitrary<bool>())
          Writes.push_back(arbitraryWrite(Key));
      const CommitOutcome Outcome = Table.commit(Writes);
      bool AllHold = true;
      for (const RowWrite &Write : Writes)
        AllHold = AllHold && Reference.conditionHolds(Write);
      RC_ASSERT(Outcome.m_Committed == AllHold);
      for (std::size_t Index = 0; Index < Writes.size(); ++Index) {
        const bool Written = AllHold && Reference.apply(Writes[Index]);
        RC_ASSERT(Outcome.m_Written[Index] == Written);
        RC_ASSERT(Outcome.m_Rows[Index].m_RowVersion == Reference.visibleVersion(Writes[Index].m_Key));
      }
      const std::vector<Row> Rows = Table.scan("k", 100);
      RC_ASSERT(Rows.size() == Reference.m_Values.size());
      for (const Row &Found : Rows)
        RC_ASSERT(Reference.m_Values.at(Found.m_Key) == Found.m_Value);
    }
  }));
}

TEST_CASE("decoding an encoded transaction yields the same transaction") {
  CHECK(rc::check([] {
    std::vector<RowWrite> Writes;
    const std::size_t Count = *rc::gen::inRange<std::size_t>(0, 5);
    for (std::size_t Key = 0; Key < Count; ++Key)
      Writes.push_back(arbitraryWrite(Key));
    const Expected<std::string> Body = encodeTransaction(Writes);
    RC_ASSERT(Body.hasValue());
    const Expected<std::vector<RowWrite>> Decoded = decodeTransaction(*Body);
    RC_ASSERT(Decoded.hasValue());
    RC_ASSERT(Decoded->size() == Writes.size());
    for (std::size_t Index = 0; Index < Writes.size(); ++Index) {
      RC_ASSERT((*Decoded)[Index].m_Key == Writes[Index].m_Key);
      RC_ASSERT((*Decoded)[Index].m_Value == Writes[Index].m_Value);
      RC_ASSERT((*Decoded)[Index].m_Condition == Writes[Index].m_Condition);
      RC_ASSERT((*Decoded)[Index].m_ExpectedVersion == Writes[Index].m_ExpectedVersion);
      RC_ASSERT((*Decoded)[Index].m_Erase == Writes[Index].m_Erase);
    }
  }));
}

TEST_CASE("percent decoding restores every byte") {
  CHECK(rc::check([](const std::string &Text) {
    const std::string Encoded = percentEncode(Text);
    RC_ASSERT(Encoded.find_first_of("/?&=# ") == std::string::npos);
    RC_ASSERT(percentDecode(Encoded) == Text);
  }));
}

TEST_CASE("decoders neither throw nor crash on random and on corrupted bodies") {
  const RandomHook Random = seededRandom(20261204);
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Body = validBodies()[Random() % validBodies().size()];
    if (Round % 2 == 0)
      Body.assign(Random() % 64, ' ');
    const std::size_t Changes = Round % 2 == 0 ? Body.size() : 1 + Random() % 4;
    for (std::size_t Change = 0; Change < Changes && !Body.empty(); ++Change)
      Body[Random() % Body.size()] = static_cast<char>(Random() % 256);
    decodeAll(Body.substr(0, Random() % 8 == 0 ? Random() % (Body.size() + 1) : Body.size()));
  }
}

TEST_CASE("decoders reject responses that contradict themselves or the request") {
  const std::vector<RowWrite> Writes{RowWrite{"a", "b", WriteCondition::Any, 0, false}};
  const std::string Row = R"({"key":"a","value":"b","rowVersion":1})";
  CHECK(decodeCommit(R"({"committed":true,"rows":[)" + Row + R"(],"written":[true]})", Writes));
  CHECK_FALSE(decodeCommit(R"({"committed":false,"rows":[)" + Row + R"(],"written":[true]})", Writes));
  CHECK_FALSE(decodeCommit(R"({"committed":true,"rows":[],"written":[]})", Writes));
  CHECK_FALSE(decodeCommit(
      R"({"committed":true,"rows":[{"key":"z","value":"","rowVersion":1}],"written":[true]})", Writes));
  CHECK_FALSE(decodeRow("{}"));
  CHECK_FALSE(decodeRow(R"({"row":{"key":"a","value":"b","rowVersion":-1}})"));
  CHECK_FALSE(decodeRow(R"({"row":{"key":"a","value":"b","rowVersion":1.5}})"));
  CHECK_FALSE(decodeRating(R"({"quality":1.01})"));
  CHECK_FALSE(decodeRating(R"({"quality":"1"})"));
  CHECK_FALSE(decodePutResponse(R"({"stored":false})"));
  CHECK_FALSE(parseEndpoint("127.0.0.1:0"));
  CHECK_FALSE(parseEndpoint("127.0.0.1:65536"));
  CHECK_FALSE(parseEndpoint("localhost:80"));
  CHECK(decodeErrorBody("overloaded").m_Ran == Ran::Unknown);
}
