#include "../src/row_replica.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>

using namespace bulrushpitch;

namespace {

RegisteredUpstream entry(const std::string &Id, std::uint32_t Slots = 1) {
  RegisteredUpstream Entry;
  Entry.m_Id = UpstreamId(Id);
  Entry.m_Slots = Slots;
  return Entry;
}

struct Fixture {
  void apply(std::uint64_t Version, RowChanges<RegisteredUpstream> Changes, std::uint64_t Era = 1) {
    m_Rows.apply(Changes, {StoreEra(Era), Version}, TimePoint{});
  }
  static PeerHeldTable held(std::uint64_t Version, std::uint64_t Era = 1) {
    return {RelayedTable::Upstreams, Era, Version, ConfigRevision(), {}};
  }
  RowChanges<RegisteredUpstream> newsFor(std::uint64_t Version, std::uint64_t Era = 1) {
    return *decodeUpstreams(m_Rows.encodedFor(held(Version, Era)));
  }

  RowReplica<RegisteredUpstream> m_Rows{RelayedTable::Upstreams,
                                        [](const RegisteredUpstream &Entry) { return Entry.m_Id.value(); },
                                        encodeUpstreams};
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a daemon is sent the rows that have changed since its version") {
  CHECK_FALSE(m_Rows.hasNewsFor(held(0)));
  apply(10, {true, {entry("a"), entry("b")}, {}});
  apply(12, {false, {entry("b", 2), entry("c")}, {"a"}});
  CHECK_FALSE(m_Rows.hasNewsFor(held(12)));
  REQUIRE(m_Rows.hasNewsFor(held(11)));
  const RowChanges<RegisteredUpstream> News = newsFor(11);
  CHECK_FALSE(News.m_Whole);
  CHECK(News.m_Updated == std::vector<RegisteredUpstream>{entry("b", 2), entry("c")});
  CHECK(News.m_Removed == std::vector<std::string>{"a"});
}

// Guards against an upstream that stays in use because its removal was seen before the first reading.
TEST_CASE_FIXTURE(Fixture, "a daemon with a version from before the first reading is sent all rows") {
  apply(10, {true, {entry("b")}, {}});
  CHECK(newsFor(9).m_Whole);
  apply(12, {false, {entry("c")}, {}});
  CHECK(newsFor(9).m_Whole);
  CHECK_FALSE(newsFor(10).m_Whole);
}

// Guards against rows of before a restore that are taken for newer ones, as versions are given out again.
TEST_CASE_FIXTURE(Fixture, "a daemon of an earlier era is sent all rows, one of a later era none") {
  apply(10, {true, {entry("a")}, {}}, 1);
  apply(6, {true, {entry("b")}, {}}, 2);
  CHECK(m_Rows.hasNewsFor(held(99, 1)));
  CHECK(newsFor(99, 1).m_Whole);
  CHECK_FALSE(m_Rows.hasNewsFor(held(1, 3)));
  CHECK(newsFor(5, 2).m_Whole);
}

// Guards against an upstream that stays in use because it came and left between two readings of a relay.
TEST_CASE_FIXTURE(Fixture, "a daemon is told of removed rows that the relay has never seen") {
  apply(10, {true, {entry("a")}, {}});
  apply(14, {false, {}, {"b"}});
  CHECK(newsFor(12).m_Removed == std::vector<std::string>{"b"});
  apply(20, {true, {entry("a")}, {}});
  CHECK(newsFor(17).m_Whole);
}

// Guards against a row that stays as it was between two readings of a relay.
TEST_CASE_FIXTURE(Fixture, "a row that changed and changed back is sent again") {
  apply(10, {true, {entry("a")}, {}});
  apply(14, {false, {entry("a")}, {}});
  CHECK(newsFor(12).m_Updated == std::vector<RegisteredUpstream>{entry("a")});
}

// Guards against memory that grows with each upstream that has ever left.
TEST_CASE_FIXTURE(Fixture, "after very many removals a daemon that lacks the oldest ones is sent all rows") {
  apply(10, {true, {}, {}});
  for (std::uint64_t Number = 1; Number <= 2000; ++Number) {
    const std::string Id = "u" + std::to_string(Number);
    apply(10 + 2 * Number - 1, {false, {entry(Id)}, {}});
    apply(10 + 2 * Number, {false, {}, {Id}});
  }
  CHECK(newsFor(20).m_Whole);
  CHECK(newsFor(4000).m_Removed.size() == 5);
}

namespace {

using Rows = std::map<std::string, std::uint32_t>;

/// The store's table with its history, and relays that read it at different times.
struct History {
  void change(const std::string &Id, std::optional<std::uint32_t> Slots) {
    Rows Next = m_Versions.back();
    if (Slots)
      Next[Id] = *Slots;
    else
      Next.erase(Id);
    m_Versions.push_back(std::move(Next));
    m_Changed.push_back(Id);
  }

  std::uint64_t version() const { return m_Versions.size() - 1; }

  /// @return all rows, or what has changed since a version
  RowChanges<RegisteredUpstream> read(std::optional<std::uint64_t> Since) const {
    const Rows &Latest = m_Versions.back();
    RowChanges<RegisteredUpstream> Changes;
    Changes.m_Whole = !Since;
    for (const auto &Row : Latest)
      if (!Since || changedAfter(*Since, Row.first))
        Changes.m_Updated.push_back(entry(Row.first, Row.second));
    for (std::uint64_t Version = Since.value_or(version()) + 1; Version <= version(); ++Version)
      if (Latest.count(m_Changed[Version]) == 0)
        Changes.m_Removed.push_back(m_Changed[Version]);
    return Changes;
  }

  bool changedAfter(std::uint64_t Since, const std::string &Id) const {
    return std::find(m_Changed.begin() + static_cast<std::ptrdiff_t>(Since) + 1, m_Changed.end(), Id) !=
           m_Changed.end();
  }

  std::vector<Rows> m_Versions{{}, {}};
  std::vector<std::string> m_Changed{"", ""}; ///< Key of the row that each version changed.
};

/// A daemon that follows relays.
struct Follower {
  void take(const RowChanges<RegisteredUpstream> &News, std::uint64_t Version) {
    if (News.m_Whole)
      m_Rows.clear();
    for (const RegisteredUpstream &Row : News.m_Updated)
      m_Rows[Row.m_Id.value()] = Row.m_Slots;
    for (const std::string &Key : News.m_Removed)
      m_Rows.erase(Key);
    m_Version = Version;
  }

  Rows m_Rows;
  std::uint64_t m_Version = 0;
};

} // namespace

// Guards against daemons whose registries differ for good, whatever way the changes took.
TEST_CASE("a daemon that takes news of several relays in any order has what the store has") {
  CHECK(rc::check([] {
    History Store;
    std::array<Fixture, 2> Relays;
    Follower Daemon;
    const int Steps = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < Steps; ++Step) {
      const std::string Id(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
      Store.change(Id, *rc::gen::arbitrary<bool>()
                           ? std::optional<std::uint32_t>(*rc::gen::inRange<std::uint32_t>(1, 3))
                           : std::nullopt);
      Fixture &Reader = Relays[*rc::gen::inRange<std::size_t>(0, 2)];
      const std::optional<StoreCursor> ReadAt = Reader.m_Rows.position();
      if (*rc::gen::arbitrary<bool>())
        Reader.apply(Store.version(), Store.read(ReadAt && *rc::gen::inRange(0, 5) > 0
                                                     ? std::optional<std::uint64_t>(ReadAt->m_Version)
                                                     : std::nullopt));
      Fixture &Asked = Relays[*rc::gen::inRange<std::size_t>(0, 2)];
      const std::optional<StoreCursor> Known = Asked.m_Rows.position();
      if (!Known || Known->m_Version < Daemon.m_Version)
        continue;
      if (Asked.m_Rows.hasNewsFor(Fixture::held(Daemon.m_Version, Daemon.m_Version == 0 ? 0 : 1)))
        Daemon.take(Asked.newsFor(Daemon.m_Version, Daemon.m_Version == 0 ? 0 : 1), Known->m_Version);
      else
        Daemon.m_Version = Known->m_Version;
      RC_ASSERT(Daemon.m_Rows == Store.m_Versions[Daemon.m_Version]);
    }
  }));
}
