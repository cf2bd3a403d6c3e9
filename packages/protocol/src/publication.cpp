#include "bulrushpitch/protocol/publication.h"

#include "detail/json_row.h"
#include "detail/lifecycle.h"

#include <boost/mpl/vector.hpp>
#include <utility>

namespace bulrushpitch {

namespace {

using nlohmann::json;

/// Between repeats of a step that failed.
constexpr Duration RepeatAfter = std::chrono::milliseconds(500);

struct Unwritten {};
struct FoundWritten {};
struct HeadMoved {};
struct ObjectStored {};
struct RowsWritten {};
struct AnswerLost {};
struct Copied {};
struct ConfirmedByAll {};

struct PublicationLifecycle : detail::Lifecycle<PublicationLifecycle, PublishStage> {
  struct Checking : detail::NamedState<PublishStage::Checking> {};
  struct Storing : detail::NamedState<PublishStage::Storing> {};
  struct Committing : detail::NamedState<PublishStage::Committing> {};
  struct SingleCopy : detail::NamedState<PublishStage::SingleCopy> {};
  struct Published : detail::NamedState<PublishStage::Published> {};
  struct InForce : detail::NamedState<PublishStage::InForce> {};
  struct Conflict : detail::NamedState<PublishStage::Conflict> {};
  using initial_state = Checking;
  struct transition_table : boost::mpl::vector<detail::Transition<Checking, Unwritten, Storing>,
                                               detail::Transition<Checking, FoundWritten, SingleCopy>,
                                               detail::Transition<Checking, HeadMoved, Conflict>,
                                               detail::Transition<Storing, ObjectStored, Committing>,
                                               detail::Transition<Committing, RowsWritten, SingleCopy>,
                                               detail::Transition<Committing, AnswerLost, Checking>,
                                               detail::Transition<SingleCopy, Copied, Published>,
                                               detail::Transition<Published, ConfirmedByAll, InForce>> {};
};

/// The row `publish/<publish id>`, by which a lost answer is read back.
struct PublishRow {
  ConfigRevision m_Revision;
  std::string m_Snapshot;
};

std::string encodePublish(const PublishRow &Row) {
  return json{{"revision", Row.m_Revision.value()}, {"snapshot", Row.m_Snapshot}}.dump();
}

Expected<PublishRow> decodePublish(const std::string &Value) {
  return detail::decodeRow(Value, "publish row", [](const json &From) {
    return PublishRow{ConfigRevision(From.at("revision").get<std::uint64_t>()),
                      From.at("snapshot").get<std::string>()};
  });
}

} // namespace

std::string publishKey(const PublishId &Id) { return "publish/" + Id.value(); }

std::string snapshotName(ConfigRevision Revision, const PublishId &Id) {
  return "config/" + std::to_string(Revision.value()) + "-" + Id.value();
}

std::string encodeHead(const HeadRow &Head) {
  json Objects = json::object();
  for (const std::pair<const std::string, ConfigRevision> &Entry : Head.m_ObjectRevisions)
    Objects[Entry.first] = Entry.second.value();
  return json{{"revision", Head.m_Revision.value()},
              {"publishId", Head.m_Publish.value()},
              {"snapshot", Head.m_Snapshot},
              {"publisher", Head.m_Publisher.value()},
              {"objectRevisions", Objects}}
      .dump();
}

Expected<HeadRow> decodeHead(const std::string &Value) {
  return detail::decodeRow(Value, "head row", [](const json &From) {
    HeadRow Head{ConfigRevision(From.at("revision").get<std::uint64_t>()),
                 PublishId(From.at("publishId").get<std::string>()),
                 From.at("snapshot").get<std::string>(),
                 InstanceId(From.at("publisher").get<std::string>()),
                 {}};
    for (const auto &Entry : From.at("objectRevisions").items())
      Head.m_ObjectRevisions[Entry.key()] = ConfigRevision(Entry.value().get<std::uint64_t>());
    return Head;
  });
}

const char *nameOf(PublishStage Value) {
  switch (Value) {
  case PublishStage::Checking:
    return "checking";
  case PublishStage::Storing:
    return "storing snapshot";
  case PublishStage::Committing:
    return "committing";
  case PublishStage::SingleCopy:
    return "written, single copy";
  case PublishStage::Published:
    return "published";
  case PublishStage::InForce:
    return "in force";
  case PublishStage::Conflict:
    break;
  }
  return "conflict";
}

struct Publication::Impl {
  Impl(InstanceId OwnId, DomainId OwnDomain, PublicationRequest Asked)
      : m_Self(std::move(OwnId)), m_Domain(std::move(OwnDomain)), m_Request(std::move(Asked)) {
    m_Lifecycle.start();
  }

  PublishStage stage() const { return m_Lifecycle.m_State; }
  ConfigRevision target() const { return m_Request.m_Base + ConfigRevision(1); }

  std::uint64_t expect() {
    m_RetryAt.reset();
    return m_Token = m_NextToken++;
  }
  /// Whether an outcome belongs to the step under way.
  bool takes(std::uint64_t Token) {
    if (Token != m_Token)
      return false;
    m_Token = 0;
    return true;
  }
  PublicationActions repeatLater(TimePoint Now, const Error &Failure) {
    m_LastError = Failure;
    m_RetryAt = Now + RepeatAfter;
    return {};
  }

  PublicationActions readHead() {
    m_HeadIsRead = false;
    return {ReadRow{expect(), HeadKey}};
  }
  PublicationActions store() {
    return {PutObject{expect(), snapshotName(target(), m_Request.m_Id), m_Request.m_Snapshot}};
  }
  PublicationActions commit();
  PublicationActions takeHead(const ReadResult &Outcome, TimePoint Now);
  PublicationActions takePublishRow(const ReadResult &Outcome, TimePoint Now);
  PublicationActions written(ConfigRevision Revision, const std::string &Snapshot) {
    m_Written = Ran::Yes;
    m_Revision = Revision;
    m_LastError.reset();
    return {InstallRevision{Revision, Snapshot}};
  }

  InstanceId m_Self;
  DomainId m_Domain;
  PublicationRequest m_Request;
  boost::msm::back::state_machine<PublicationLifecycle> m_Lifecycle;
  std::uint64_t m_NextToken = 1;
  std::uint64_t m_Token = 0; ///< Of the step under way; 0 if none.
  bool m_HeadIsRead = false;
  bool m_ObjectIsStored = false;
  HeadRow m_Head;
  std::uint64_t m_HeadVersion = 0;
  std::optional<TimePoint> m_RetryAt;
  std::optional<Error> m_LastError;
  Ran m_Written = Ran::No;
  ConfigRevision m_Revision;
  std::vector<InstanceId> m_NotInForce;
  std::vector<std::string> m_Conflicting;
};

PublicationActions Publication::Impl::commit() {
  HeadRow Next{target(), m_Request.m_Id, snapshotName(target(), m_Request.m_Id), m_Self,
               m_Head.m_ObjectRevisions};
  for (const std::string &Name : m_Request.m_Changed)
    Next.m_ObjectRevisions[Name] = target();
  TableWrite HeadWrite{HeadKey, encodeHead(Next),
                       m_HeadVersion == 0 ? TableCondition::Absent : TableCondition::Version, m_HeadVersion};
  TableWrite PublishWrite{publishKey(m_Request.m_Id), encodePublish(PublishRow{target(), Next.m_Snapshot}),
                          TableCondition::Absent, 0};
  m_Written = Ran::Unknown;
  CommitRows Action{expect(), {std::move(HeadWrite), std::move(PublishWrite)}};
  Action.m_Writes.insert(Action.m_Writes.end(), m_Request.m_ExtraWrites.begin(),
                         m_Request.m_ExtraWrites.end());
  return {std::move(Action)};
}

PublicationActions Publication::Impl::takeHead(const ReadResult &Outcome, TimePoint Now) {
  m_Head = HeadRow{};
  m_HeadVersion = 0;
  if (*Outcome) {
    Expected<HeadRow> Head = decodeHead((*Outcome)->m_Value);
    if (!Head)
      return repeatLater(Now, Head.error());
    m_Head = *Head;
    m_HeadVersion = (*Outcome)->m_RowVersion;
  }
  m_HeadIsRead = true;
  return {ReadRow{expect(), publishKey(m_Request.m_Id)}};
}

PublicationActions Publication::Impl::takePublishRow(const ReadResult &Outcome, TimePoint Now) {
  if (*Outcome) {
    Expected<PublishRow> Row = decodePublish((*Outcome)->m_Value);
    if (!Row)
      return repeatLater(Now, Row.error());
    m_Lifecycle.process_event(FoundWritten{});
    return written(Row->m_Revision, Row->m_Snapshot);
  }
  if (m_Head.m_Revision != m_Request.m_Base) {
    m_Lifecycle.process_event(HeadMoved{});
    m_Written = Ran::No;
    m_Revision = m_Head.m_Revision;
    for (const std::pair<const std::string, ConfigRevision> &Entry : m_Head.m_ObjectRevisions)
      if (Entry.second > m_Request.m_Base)
        m_Conflicting.push_back(Entry.first);
    return {};
  }
  m_Lifecycle.process_event(Unwritten{});
  if (!m_ObjectIsStored)
    return store();
  m_Lifecycle.process_event(ObjectStored{});
  return commit();
}

Publication::Publication(InstanceId Self, DomainId Domain, PublicationRequest Request)
    : m_Impl(std::make_unique<Impl>(std::move(Self), std::move(Domain), std::move(Request))) {}
Publication::~Publication() = default;
Publication::Publication(Publication &&) noexcept = default;
Publication &Publication::operator=(Publication &&) noexcept = default;

PublicationActions Publication::start(TimePoint) { return m_Impl->readHead(); }

PublicationActions Publication::rowRead(TimePoint Now, std::uint64_t Token, const ReadResult &Outcome) {
  if (!m_Impl->takes(Token) || m_Impl->stage() != PublishStage::Checking)
    return {};
  if (!Outcome)
    return m_Impl->repeatLater(Now, Outcome.error());
  return m_Impl->m_HeadIsRead ? m_Impl->takePublishRow(Outcome, Now) : m_Impl->takeHead(Outcome, Now);
}

PublicationActions Publication::objectPut(TimePoint Now, std::uint64_t Token, const Expected<Done> &Outcome) {
  if (!m_Impl->takes(Token))
    return {};
  if (!Outcome)
    return m_Impl->repeatLater(Now, Outcome.error());
  m_Impl->m_ObjectIsStored = true;
  if (!detail::advance(m_Impl->m_Lifecycle, ObjectStored{}))
    return {};
  return m_Impl->commit();
}

PublicationActions Publication::committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome) {
  if (!m_Impl->takes(Token))
    return {};
  if (Outcome && Outcome->m_Committed) {
    m_Impl->m_Lifecycle.process_event(RowsWritten{});
    return m_Impl->written(m_Impl->target(), snapshotName(m_Impl->target(), m_Impl->m_Request.m_Id));
  }
  m_Impl->m_Lifecycle.process_event(AnswerLost{});
  return Outcome ? m_Impl->readHead() : m_Impl->repeatLater(Now, Outcome.error());
}

PublicationActions Publication::tick(TimePoint Now) {
  if (!m_Impl->m_RetryAt || Now < *m_Impl->m_RetryAt)
    return {};
  if (m_Impl->stage() == PublishStage::Checking)
    return m_Impl->readHead();
  if (m_Impl->stage() == PublishStage::Storing)
    return m_Impl->store();
  return {};
}

void Publication::confirmed(const std::vector<ConfirmedRevision> &Live) {
  if (m_Impl->m_Written != Ran::Yes)
    return;
  m_Impl->m_NotInForce.clear();
  bool HasCopy = false;
  for (const ConfirmedRevision &One : Live)
    if (One.m_Revision < m_Impl->m_Revision)
      m_Impl->m_NotInForce.push_back(One.m_Instance);
    else
      HasCopy = HasCopy || One.m_Domain != m_Impl->m_Domain;
  if (HasCopy)
    m_Impl->m_Lifecycle.process_event(Copied{});
  if (m_Impl->m_NotInForce.empty())
    m_Impl->m_Lifecycle.process_event(ConfirmedByAll{});
}

PublishStatus Publication::status() const {
  return PublishStatus{m_Impl->stage(),      m_Impl->m_Revision,    m_Impl->m_Written,
                       m_Impl->m_NotInForce, m_Impl->m_Conflicting, m_Impl->m_LastError};
}

bool Publication::finished() const {
  return m_Impl->stage() == PublishStage::InForce || m_Impl->stage() == PublishStage::Conflict;
}

} // namespace bulrushpitch
