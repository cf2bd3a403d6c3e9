#include "bulrushpitch/daemon/publication_service.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bulrushpitch {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration CommitTimeout = std::chrono::seconds(8);
constexpr Duration SecondCopyTimeout = std::chrono::seconds(3);
constexpr const char *HistoryKeyPrefix = "history/";

/// Rows are sorted by key; subtracting the revision from a maximum puts the newest revision first.
std::string historyKey(ConfigRevision Revision) {
  constexpr std::uint64_t MaxRevision = 9'999'999'999;
  std::string Digits = std::to_string(MaxRevision - Revision.value());
  return HistoryKeyPrefix + std::string(10 - std::min<std::size_t>(10, Digits.size()), '0') + Digits;
}

std::string encodeHistory(const HistoryEntry &Entry) {
  return Json{{"revision", Entry.m_Revision.value()},
              {"publishId", Entry.m_PublishId.value()},
              {"operator", Entry.m_Operator},
              {"publishedAt", Entry.m_PublishedAt},
              {"objects", Entry.m_Objects}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Expected<HistoryEntry> decodeHistory(const std::string &Text) {
  try {
    const Json Parsed = Json::parse(Text);
    HistoryEntry Entry;
    Entry.m_Revision = ConfigRevision(Parsed.at("revision").get<std::uint64_t>());
    Entry.m_PublishId = PublishId(Parsed.at("publishId").get<std::string>());
    Entry.m_Operator = Parsed.at("operator").get<std::string>();
    Entry.m_PublishedAt = Parsed.at("publishedAt").get<std::int64_t>();
    Entry.m_Objects = Parsed.at("objects").get<std::vector<std::string>>();
    return Entry;
  } catch (const Json::exception &Failure) {
    return Error{ErrorCode::PlatformProtocol, "read history", "table service", Ran::No, Failure.what()};
  }
}

std::vector<std::string> objectNames(const std::vector<ObjectChange> &Changes) {
  std::vector<std::string> Names;
  Names.reserve(Changes.size());
  for (const ObjectChange &Change : Changes)
    Names.push_back(Change.m_Kind + "/" + Change.m_Name);
  return Names;
}

bool isSettled(PublishStage Stage) {
  return Stage == PublishStage::Published || Stage == PublishStage::InForce ||
         Stage == PublishStage::Conflict;
}

} // namespace

PublicationService::PublicationService(const Runtime &Base, ClusterService &Cluster, TableService &Rows,
                                       ObjectStore &Objects, std::shared_ptr<TableExecutor> Table,
                                       Recorder &Events)
    : m_Runtime(Base), m_Cluster(Cluster), m_TableService(Rows), m_ObjectStore(Objects),
      m_TableExecutor(std::move(Table)), m_Events(Events),
      m_Tick(
          Base.m_Context, [] { return TickInterval; }, [this] { tick(); }) {}

Result<void> PublicationService::start() {
  m_Tick.start();
  return {};
}

void PublicationService::stop() { m_Tick.stop(); }

void PublicationService::tick() {
  const TimePoint Now = m_Runtime.m_Clock();
  const std::map<PublishId, ActivePublicationPtr> Publications = m_ActivePublications;
  for (const std::pair<const PublishId, ActivePublicationPtr> &Entry : Publications) {
    Entry.second->m_Machine.applyConfirmedRevisions(m_Cluster.membership().confirmedRevisions());
    run(Entry.second, Entry.second->m_Machine.tick(Now));
    if (Entry.second->m_Machine.finished())
      m_ActivePublications.erase(Entry.first);
  }
}

void PublicationService::run(const ActivePublicationPtr &Active, PublicationActions Actions) {
  for (PublicationAction &Action : Actions)
    std::visit([&](auto &Alternative) { execute(Active, std::move(Alternative)); }, Action);
}

void PublicationService::execute(const ActivePublicationPtr &Active, CommitRows Action) {
  m_TableExecutor->commit(std::move(Action),
                          [this, Active](std::uint64_t Token, const CommitResult &Outcome) {
                            run(Active, Active->m_Machine.committed(m_Runtime.m_Clock(), Token, Outcome));
                          });
}

void PublicationService::execute(const ActivePublicationPtr &Active, ReadRow Action) {
  m_TableExecutor->read(std::move(Action), [this, Active](std::uint64_t Token, const ReadResult &Outcome) {
    run(Active, Active->m_Machine.rowRead(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void PublicationService::execute(const ActivePublicationPtr &Active, PutObject Action) {
  spawn(m_Runtime.m_Context, put(Active, std::move(Action)));
}

asio::awaitable<void> PublicationService::put(ActivePublicationPtr Active, PutObject Action) {
  const std::uint64_t Token = Action.m_Token;
  Expected<Done> Stored = co_await m_ObjectStore.put(std::move(Action.m_Name), std::move(Action.m_Content));
  Active->m_SnapshotStored = Active->m_SnapshotStored || Stored.hasValue();
  run(Active, Active->m_Machine.objectPut(m_Runtime.m_Clock(), Token, Stored));
}

void PublicationService::execute(const ActivePublicationPtr &Active, const InstallRevision &Action) {
  TimelineEvent Event;
  Event.m_Kind = EventKind::ConfigPublished;
  Event.m_Revision = Action.m_Revision;
  m_Events.record(std::move(Event));
  // A retry may find that an earlier attempt wrote the revision; the snapshot of that attempt then counts.
  if (Active->m_SnapshotStored && Action.m_Revision == Active->m_Configuration.m_Revision)
    m_Cluster.install(Active->m_Configuration, m_Cluster.self());
  else
    m_Cluster.startHeadPoll();
}

asio::awaitable<PublishStatus> PublicationService::waitForOutcome(ActivePublicationPtr Active) {
  const TimePoint Start = m_Runtime.m_Clock();
  std::optional<TimePoint> WrittenAt;
  while (true) {
    const PublishStatus Status = Active->m_Machine.status();
    const TimePoint Now = m_Runtime.m_Clock();
    if (isSettled(Status.m_Stage))
      co_return Status;
    if (Status.m_Stage == PublishStage::SingleCopy && !WrittenAt)
      WrittenAt = Now;
    if ((WrittenAt && Now - *WrittenAt > SecondCopyTimeout) || (!WrittenAt && Now - Start > CommitTimeout))
      co_return Status;
    co_await sleepFor(m_Runtime.m_Context, TickInterval);
  }
}

asio::awaitable<Expected<PublishReply>> PublicationService::publish(PublishRequest Request) {
  if (m_Cluster.configStore().revision() < Request.m_Base)
    static_cast<void>(co_await m_Cluster.pollHead());
  // A repeated request must get the first reply, even if its documents would be refused against the newer
  // base.
  Expected<std::optional<PublishReply>> Earlier = co_await findEarlierReply(Request);
  if (!Earlier)
    co_return Earlier.error();
  if (*Earlier)
    co_return **Earlier;
  std::shared_ptr<const Configuration> Base = m_Cluster.configurationAt(Request.m_Base);
  if (!Base)
    Base = m_Cluster.configStore().current();
  PublishReply Reply;
  Reply.m_Revision = Request.m_Base;
  ReadOutcome Documents = readDocuments(Request.m_Documents, Base.get());
  if (!Documents.m_Faults.empty()) {
    Reply.m_Outcome = PublishOutcome::Refused;
    Reply.m_Faults = std::move(Documents.m_Faults);
    co_return Reply;
  }
  Documents.m_Configuration.m_Lifted = Request.m_Lifted;
  Configuration Prepared = prepareForPublication(std::move(Documents.m_Configuration), *Base,
                                                 m_Cluster.configStore().restrictions().active());
  Prepared.m_Revision = Request.m_Base + ConfigRevision(1);
  Reply.m_Changes = diffConfigurations(*Base, Prepared);
  if (Request.m_DryRun) {
    Reply.m_Outcome = PublishOutcome::Checked;
    co_return Reply;
  }

  ActivePublicationPtr Active;
  if (const auto Found = m_ActivePublications.find(Request.m_PublishId);
      Found != m_ActivePublications.end()) {
    Active = Found->second;
  } else {
    HistoryEntry Entry;
    Entry.m_Revision = Prepared.m_Revision;
    Entry.m_PublishId = Request.m_PublishId;
    Entry.m_Operator = Request.m_Operator;
    Entry.m_PublishedAt = m_Runtime.m_WallClock().time_since_epoch().count();
    Entry.m_Objects = objectNames(Reply.m_Changes);
    PublicationRequest Submission;
    Submission.m_Id = Request.m_PublishId;
    Submission.m_Base = Request.m_Base;
    Submission.m_Snapshot = encodeSnapshot(Prepared);
    Submission.m_ChangedObjects = Entry.m_Objects;
    TableWrite History;
    History.m_Key = historyKey(Entry.m_Revision);
    History.m_Value = encodeHistory(Entry);
    Submission.m_ExtraWrites.push_back(std::move(History));
    Active = std::make_shared<ActivePublication>(
        Publication(m_Cluster.self(), m_Runtime.m_Settings.m_Domain, std::move(Submission)),
        std::move(Prepared));
    m_ActivePublications[Request.m_PublishId] = Active;
    run(Active, Active->m_Machine.start(m_Runtime.m_Clock()));
  }

  const PublishStatus Status = co_await waitForOutcome(Active);
  LOG(INFO) << "step=publish publish_id=" << Request.m_PublishId << " operator=" << Request.m_Operator
            << " revision=" << Status.m_Revision << " stage=\"" << nameOf(Status.m_Stage) << '"';
  switch (Status.m_Stage) {
  case PublishStage::Conflict: {
    Reply.m_Outcome = PublishOutcome::Conflict;
    Reply.m_Revision = Status.m_Revision;
    Reply.m_Winner = co_await publisherOf(Status.m_Revision);
    // The winner's changes, since the operator has to review those rather than the submitted ones.
    Reply.m_Changes = diffConfigurations(*Base, *m_Cluster.configStore().current());
    co_return Reply;
  }
  case PublishStage::SingleCopy:
    Reply.m_Outcome = PublishOutcome::SingleCopy;
    break;
  case PublishStage::Published:
  case PublishStage::InForce:
    Reply.m_Outcome = PublishOutcome::Published;
    break;
  default:
    co_return Status.m_LastError.value_or(
        Error{ErrorCode::PlatformTimeout, "publish", "table service", Ran::Unknown,
              "the outcome is not known yet; retry with the same publish id"});
  }
  Reply.m_Revision = Status.m_Revision;
  co_return Reply;
}

asio::awaitable<Expected<std::optional<PublishReply>>>
PublicationService::findEarlierReply(const PublishRequest &Request) {
  if (Request.m_DryRun || m_ActivePublications.contains(Request.m_PublishId))
    co_return std::optional<PublishReply>();
  Expected<std::optional<Row>> Stored = co_await m_TableService.get(publishKey(Request.m_PublishId));
  if (!Stored)
    co_return Stored.error();
  if (!*Stored)
    co_return std::optional<PublishReply>();
  PublishReply Reply;
  Reply.m_Revision = Request.m_Base + ConfigRevision(1);
  static_cast<void>(co_await m_Cluster.pollHead());
  bool HasSecondCopy = false;
  for (const ConfirmedRevision &Entry : m_Cluster.membership().confirmedRevisions())
    HasSecondCopy = HasSecondCopy ||
                    (Entry.m_Revision >= Reply.m_Revision && Entry.m_Domain != m_Runtime.m_Settings.m_Domain);
  Reply.m_Outcome = HasSecondCopy ? PublishOutcome::Published : PublishOutcome::SingleCopy;
  co_return std::optional<PublishReply>(std::move(Reply));
}

asio::awaitable<std::string> PublicationService::publisherOf(ConfigRevision Revision) {
  static_cast<void>(co_await m_Cluster.pollHead());
  Expected<HistoryEntry> Entry = co_await historyEntry(Revision);
  co_return Entry ? Entry->m_Operator : std::string();
}

asio::awaitable<Expected<HistoryEntry>> PublicationService::historyEntry(ConfigRevision Revision) {
  Expected<std::optional<Row>> Stored = co_await m_TableService.get(historyKey(Revision));
  if (!Stored)
    co_return Stored.error();
  if (!*Stored)
    co_return HistoryEntry{};
  co_return decodeHistory((*Stored)->m_Value);
}

asio::awaitable<Expected<HistoryReply>> PublicationService::history(std::size_t Limit) {
  Expected<std::vector<Row>> Rows = co_await m_TableService.scan(HistoryKeyPrefix, Limit);
  if (!Rows)
    co_return Rows.error();
  HistoryReply Reply;
  for (const Row &HistoryRow : *Rows) {
    Expected<HistoryEntry> Entry = decodeHistory(HistoryRow.m_Value);
    if (!Entry)
      co_return Entry.error();
    Reply.m_Entries.push_back(std::move(*Entry));
  }
  co_return Reply;
}

} // namespace bulrushpitch
