#include "bulrushpitch/protocol/publication.h"

#include "detail/json_row.h"
#include "detail/lifecycle.h"

#include <boost/mpl/vector.hpp>
#include <utility>

namespace bulrushpitch {

namespace {

using nlohmann::json;

/// Delay before a failed step is retried.
constexpr Duration RetryInterval = std::chrono::milliseconds(500);

struct FoundUnwritten {};
struct FoundWritten {};
struct HeadMoved {};
struct ObjectStored {};
struct RowsWritten {};
struct CommitUnconfirmed {};
struct ConfirmedInOtherDomain {};
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
  struct transition_table
      : boost::mpl::vector<detail::Transition<Checking, FoundUnwritten, Storing>,
                           detail::Transition<Checking, FoundWritten, SingleCopy>,
                           detail::Transition<Checking, HeadMoved, Conflict>,
                           detail::Transition<Storing, ObjectStored, Committing>,
                           detail::Transition<Committing, RowsWritten, SingleCopy>,
                           detail::Transition<Committing, CommitUnconfirmed, Checking>,
                           detail::Transition<SingleCopy, ConfirmedInOtherDomain, Published>,
                           detail::Transition<Published, ConfirmedByAll, InForce>> {};
};

/// The row `publish/<publish id>`, which shows after a lost response whether the write took effect.
struct PublishRow {
  ConfigRevision m_Revision;
  std::string m_Snapshot;
};

std::string encodePublish(const PublishRow &Row) {
  return json{{"revision", Row.m_Revision.value()}, {"snapshot", Row.m_Snapshot}}.dump();
}

Expected<PublishRow> decodePublish(const std::string &Value) {
  return detail::decodeRow(Value, "publish row", [](const json &Json) {
    return PublishRow{ConfigRevision(Json.at("revision").get<std::uint64_t>()),
                      Json.at("snapshot").get<std::string>()};
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
  return detail::decodeRow(Value, "head row", [](const json &Json) {
    HeadRow Head{ConfigRevision(Json.at("revision").get<std::uint64_t>()),
                 PublishId(Json.at("publishId").get<std::string>()),
                 Json.at("snapshot").get<std::string>(),
                 InstanceId(Json.at("publisher").get<std::string>()),
                 {}};
    for (const auto &Entry : Json.at("objectRevisions").items())
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
  Impl(InstanceId OwnId, DomainId OwnDomain, PublicationRequest Request)
      : m_Self(std::move(OwnId)), m_Domain(std::move(OwnDomain)), m_Request(std::move(Request)) {
    m_Lifecycle.start();
  }

  PublishStage stage() const { return m_Lifecycle.m_State; }
  ConfigRevision targetRevision() const { return m_Request.m_Base + ConfigRevision(1); }

  /// Issues the token of the next step and cancels a pending retry.
  std::uint64_t issueToken() {
    m_RetryAt.reset();
    return m_PendingToken = m_NextToken++;
  }
  /// Ends the pending step if @p Token is its token. @return whether it was
  bool consumeToken(std::uint64_t Token) {
    if (Token != m_PendingToken)
      return false;
    m_PendingToken = 0;
    return true;
  }
  PublicationActions scheduleRetry(TimePoint Now, const Error &Failure) {
    m_LastError = Failure;
    m_RetryAt = Now + RetryInterval;
    return {};
  }

  PublicationActions readHead() {
    m_HasReadHead = false;
    return {ReadRow{issueToken(), HeadKey}};
  }
  PublicationActions storeSnapshot() {
    return {PutObject{issueToken(), snapshotName(targetRevision(), m_Request.m_Id), m_Request.m_Snapshot}};
  }
  PublicationActions commit();
  PublicationActions processHead(const ReadResult &Outcome, TimePoint Now);
  PublicationActions processPublishRow(const ReadResult &Outcome, TimePoint Now);
  PublicationActions markWritten(ConfigRevision Revision, const std::string &Snapshot) {
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
  std::uint64_t m_PendingToken = 0; ///< Token of the pending step; 0 if there is none.
  bool m_HasReadHead = false;
  bool m_HasStoredObject = false;
  HeadRow m_Head;
  std::uint64_t m_HeadVersion = 0;
  std::optional<TimePoint> m_RetryAt;
  std::optional<Error> m_LastError;
  Ran m_Written = Ran::No;
  ConfigRevision m_Revision;
  std::vector<InstanceId> m_Unconfirmed;
  std::vector<std::string> m_ConflictingObjects;
};

PublicationActions Publication::Impl::commit() {
  HeadRow Next{targetRevision(), m_Request.m_Id, snapshotName(targetRevision(), m_Request.m_Id), m_Self,
               m_Head.m_ObjectRevisions};
  for (const std::string &Name : m_Request.m_ChangedObjects)
    Next.m_ObjectRevisions[Name] = targetRevision();
  TableWrite HeadWrite{HeadKey, encodeHead(Next),
                       m_HeadVersion == 0 ? TableCondition::Absent : TableCondition::Version, m_HeadVersion};
  TableWrite PublishWrite{publishKey(m_Request.m_Id),
                          encodePublish(PublishRow{targetRevision(), Next.m_Snapshot}),
                          TableCondition::Absent, 0};
  m_Written = Ran::Unknown;
  CommitRows Action{issueToken(), {std::move(HeadWrite), std::move(PublishWrite)}};
  Action.m_Writes.insert(Action.m_Writes.end(), m_Request.m_ExtraWrites.begin(),
                         m_Request.m_ExtraWrites.end());
  return {std::move(Action)};
}

PublicationActions Publication::Impl::processHead(const ReadResult &Outcome, TimePoint Now) {
  m_Head = HeadRow{};
  m_HeadVersion = 0;
  if (*Outcome) {
    Expected<HeadRow> Head = decodeHead((*Outcome)->m_Value);
    if (!Head)
      return scheduleRetry(Now, Head.error());
    m_Head = *Head;
    m_HeadVersion = (*Outcome)->m_RowVersion;
  }
  m_HasReadHead = true;
  return {ReadRow{issueToken(), publishKey(m_Request.m_Id)}};
}

PublicationActions Publication::Impl::processPublishRow(const ReadResult &Outcome, TimePoint Now) {
  if (*Outcome) {
    Expected<PublishRow> Row = decodePublish((*Outcome)->m_Value);
    if (!Row)
      return scheduleRetry(Now, Row.error());
    m_Lifecycle.process_event(FoundWritten{});
    return markWritten(Row->m_Revision, Row->m_Snapshot);
  }
  if (m_Head.m_Revision != m_Request.m_Base) {
    m_Lifecycle.process_event(HeadMoved{});
    m_Written = Ran::No;
    m_Revision = m_Head.m_Revision;
    for (const std::pair<const std::string, ConfigRevision> &Entry : m_Head.m_ObjectRevisions)
      if (Entry.second > m_Request.m_Base)
        m_ConflictingObjects.push_back(Entry.first);
    return {};
  }
  m_Lifecycle.process_event(FoundUnwritten{});
  if (!m_HasStoredObject)
    return storeSnapshot();
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
  if (!m_Impl->consumeToken(Token) || m_Impl->stage() != PublishStage::Checking)
    return {};
  if (!Outcome)
    return m_Impl->scheduleRetry(Now, Outcome.error());
  return m_Impl->m_HasReadHead ? m_Impl->processPublishRow(Outcome, Now) : m_Impl->processHead(Outcome, Now);
}

PublicationActions Publication::objectPut(TimePoint Now, std::uint64_t Token, const Expected<Done> &Outcome) {
  if (!m_Impl->consumeToken(Token))
    return {};
  if (!Outcome)
    return m_Impl->scheduleRetry(Now, Outcome.error());
  m_Impl->m_HasStoredObject = true;
  if (!detail::processEvent(m_Impl->m_Lifecycle, ObjectStored{}))
    return {};
  return m_Impl->commit();
}

PublicationActions Publication::committed(TimePoint Now, std::uint64_t Token, const CommitResult &Outcome) {
  if (!m_Impl->consumeToken(Token))
    return {};
  if (Outcome && Outcome->m_Committed) {
    m_Impl->m_Lifecycle.process_event(RowsWritten{});
    return m_Impl->markWritten(m_Impl->targetRevision(),
                               snapshotName(m_Impl->targetRevision(), m_Impl->m_Request.m_Id));
  }
  m_Impl->m_Lifecycle.process_event(CommitUnconfirmed{});
  return Outcome ? m_Impl->readHead() : m_Impl->scheduleRetry(Now, Outcome.error());
}

PublicationActions Publication::tick(TimePoint Now) {
  if (!m_Impl->m_RetryAt || Now < *m_Impl->m_RetryAt)
    return {};
  if (m_Impl->stage() == PublishStage::Checking)
    return m_Impl->readHead();
  if (m_Impl->stage() == PublishStage::Storing)
    return m_Impl->storeSnapshot();
  return {};
}

void Publication::applyConfirmedRevisions(const std::vector<ConfirmedRevision> &Live) {
  if (m_Impl->m_Written != Ran::Yes)
    return;
  m_Impl->m_Unconfirmed.clear();
  bool HasRemoteCopy = false;
  for (const ConfirmedRevision &Instance : Live)
    if (Instance.m_Revision < m_Impl->m_Revision)
      m_Impl->m_Unconfirmed.push_back(Instance.m_Instance);
    else
      HasRemoteCopy = HasRemoteCopy || Instance.m_Domain != m_Impl->m_Domain;
  if (HasRemoteCopy)
    m_Impl->m_Lifecycle.process_event(ConfirmedInOtherDomain{});
  if (m_Impl->m_Unconfirmed.empty())
    m_Impl->m_Lifecycle.process_event(ConfirmedByAll{});
}

PublishStatus Publication::status() const {
  return PublishStatus{m_Impl->stage(),       m_Impl->m_Revision,           m_Impl->m_Written,
                       m_Impl->m_Unconfirmed, m_Impl->m_ConflictingObjects, m_Impl->m_LastError};
}

bool Publication::finished() const {
  return m_Impl->stage() == PublishStage::InForce || m_Impl->stage() == PublishStage::Conflict;
}

} // namespace bulrushpitch
