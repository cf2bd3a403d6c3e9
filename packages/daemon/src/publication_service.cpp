#include "bulrushpitch/daemon/publication_service.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bulrushpitch {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration WriteTimeout = std::chrono::seconds(8);
constexpr Duration SecondCopyTimeout = std::chrono::seconds(3);
constexpr const char *HistoryPrefix = "history/";

/// Keys sort by text, so that the newest revision must come first by subtraction.
std::string historyKey(ConfigRevision Revision) {
  constexpr std::uint64_t Highest = 9'999'999'999;
  std::string Digits = std::to_string(Highest - Revision.value());
  return HistoryPrefix + std::string(10 - std::min<std::size_t>(10, Digits.size()), '0') + Digits;
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
  } catch (const Json::exception &Malformed) {
    return Error{ErrorCode::PlatformProtocol, "read history", "table service", Ran::No, Malformed.what()};
  }
}

std::vector<std::string> namesOf(const std::vector<ObjectChange> &Changes) {
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
    : m_Runtime(Base), m_Cluster(Cluster), m_Rows(Rows), m_Objects(Objects), m_Table(std::move(Table)),
      m_Events(Events), m_Tick(
                            Base.m_Context, [] { return TickInterval; }, [this] { tick(); }) {}

Result<void> PublicationService::start() {
  m_Tick.start();
  return {};
}

void PublicationService::stop() { m_Tick.stop(); }

void PublicationService::tick() {
  const TimePoint Now = m_Runtime.m_Clock();
  const std::map<PublishId, RunningPtr> Copy = m_Running;
  for (const std::pair<const PublishId, RunningPtr> &Entry : Copy) {
    Entry.second->m_Machine.confirmed(m_Cluster.membership().confirmedRevisions());
    run(Entry.second, Entry.second->m_Machine.tick(Now));
    if (Entry.second->m_Machine.finished())
      m_Running.erase(Entry.first);
  }
}

void PublicationService::run(const RunningPtr &Target, PublicationActions Actions) {
  for (PublicationAction &Action : Actions)
    std::visit([&](auto &Chosen) { execute(Target, std::move(Chosen)); }, Action);
}

void PublicationService::execute(const RunningPtr &Target, CommitRows Action) {
  m_Table->commit(std::move(Action), [this, Target](std::uint64_t Token, const CommitResult &Outcome) {
    run(Target, Target->m_Machine.committed(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void PublicationService::execute(const RunningPtr &Target, ReadRow Action) {
  m_Table->read(std::move(Action), [this, Target](std::uint64_t Token, const ReadResult &Outcome) {
    run(Target, Target->m_Machine.rowRead(m_Runtime.m_Clock(), Token, Outcome));
  });
}

void PublicationService::execute(const RunningPtr &Target, PutObject Action) {
  spawn(m_Runtime.m_Context, put(Target, std::move(Action)));
}

asio::awaitable<void> PublicationService::put(RunningPtr Target, PutObject Action) {
  const std::uint64_t Token = Action.m_Token;
  Expected<Done> Stored = co_await m_Objects.put(std::move(Action.m_Name), std::move(Action.m_Content));
  Target->m_Stored = Target->m_Stored || Stored.hasValue();
  run(Target, Target->m_Machine.objectPut(m_Runtime.m_Clock(), Token, Stored));
}

void PublicationService::execute(const RunningPtr &Target, const InstallRevision &Action) {
  TimelineEvent Event;
  Event.m_Kind = EventKind::ConfigPublished;
  Event.m_Revision = Action.m_Revision;
  m_Events.record(std::move(Event));
  // A retry may find that an earlier try wrote the revision; its snapshot is then the one that counts.
  if (Target->m_Stored && Action.m_Revision == Target->m_Target.m_Revision)
    m_Cluster.install(Target->m_Target, m_Cluster.self());
  else
    m_Cluster.refresh();
}

asio::awaitable<PublishStatus> PublicationService::waitFor(RunningPtr Target) {
  const TimePoint Start = m_Runtime.m_Clock();
  std::optional<TimePoint> Written;
  while (true) {
    const PublishStatus Status = Target->m_Machine.status();
    const TimePoint Now = m_Runtime.m_Clock();
    if (isSettled(Status.m_Stage))
      co_return Status;
    if (Status.m_Stage == PublishStage::SingleCopy && !Written)
      Written = Now;
    if ((Written && Now - *Written > SecondCopyTimeout) || (!Written && Now - Start > WriteTimeout))
      co_return Status;
    co_await sleepFor(m_Runtime.m_Context, TickInterval);
  }
}

asio::awaitable<Expected<PublishReply>> PublicationService::publish(PublishRequest Request) {
  if (m_Cluster.store().revision() < Request.m_Base)
    static_cast<void>(co_await m_Cluster.pollHead());
  // A repeated request must get the first answer, also if the set would be refused against the newer base.
  Expected<std::optional<PublishReply>> Earlier = co_await findEarlier(Request);
  if (!Earlier)
    co_return Earlier.error();
  if (*Earlier)
    co_return **Earlier;
  std::shared_ptr<const Configuration> Base = m_Cluster.at(Request.m_Base);
  if (!Base)
    Base = m_Cluster.store().current();
  PublishReply Reply;
  Reply.m_Revision = Request.m_Base;
  ReadOutcome Read = readDocuments(Request.m_Documents, Base.get());
  if (!Read.m_Faults.empty()) {
    Reply.m_Outcome = PublishOutcome::Refused;
    Reply.m_Faults = std::move(Read.m_Faults);
    co_return Reply;
  }
  Read.m_Configuration.m_Lifted = Request.m_Lifted;
  Configuration Prepared = prepareForPublication(std::move(Read.m_Configuration), *Base,
                                                 m_Cluster.store().restrictions().active());
  Prepared.m_Revision = Request.m_Base + ConfigRevision(1);
  Reply.m_Changes = diffConfigurations(*Base, Prepared);
  if (Request.m_DryRun) {
    Reply.m_Outcome = PublishOutcome::Checked;
    co_return Reply;
  }

  RunningPtr Target;
  if (const auto Found = m_Running.find(Request.m_PublishId); Found != m_Running.end()) {
    Target = Found->second;
  } else {
    HistoryEntry Entry;
    Entry.m_Revision = Prepared.m_Revision;
    Entry.m_PublishId = Request.m_PublishId;
    Entry.m_Operator = Request.m_Operator;
    Entry.m_PublishedAt = m_Runtime.m_WallClock().time_since_epoch().count();
    Entry.m_Objects = namesOf(Reply.m_Changes);
    PublicationRequest Wanted;
    Wanted.m_Id = Request.m_PublishId;
    Wanted.m_Base = Request.m_Base;
    Wanted.m_Snapshot = encodeSnapshot(Prepared);
    Wanted.m_Changed = Entry.m_Objects;
    TableWrite History;
    History.m_Key = historyKey(Entry.m_Revision);
    History.m_Value = encodeHistory(Entry);
    Wanted.m_ExtraWrites.push_back(std::move(History));
    Target = std::make_shared<Running>(
        Publication(m_Cluster.self(), m_Runtime.m_Settings.m_Domain, std::move(Wanted)), std::move(Prepared));
    m_Running[Request.m_PublishId] = Target;
    run(Target, Target->m_Machine.start(m_Runtime.m_Clock()));
  }

  const PublishStatus Status = co_await waitFor(Target);
  LOG(INFO) << "step=publish publish_id=" << Request.m_PublishId << " operator=" << Request.m_Operator
            << " revision=" << Status.m_Revision << " stage=\"" << nameOf(Status.m_Stage) << '"';
  switch (Status.m_Stage) {
  case PublishStage::Conflict: {
    Reply.m_Outcome = PublishOutcome::Conflict;
    Reply.m_Revision = Status.m_Revision;
    Reply.m_Winner = co_await winnerOf(Status.m_Revision);
    // What the winner changed: this operator's own changes are not what has to be looked at.
    Reply.m_Changes = diffConfigurations(*Base, *m_Cluster.store().current());
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
              "the outcome is not known yet; ask again with the same publish id"});
  }
  Reply.m_Revision = Status.m_Revision;
  co_return Reply;
}

asio::awaitable<Expected<std::optional<PublishReply>>>
PublicationService::findEarlier(const PublishRequest &Request) {
  if (Request.m_DryRun || m_Running.contains(Request.m_PublishId))
    co_return std::optional<PublishReply>();
  Expected<std::optional<Row>> Read = co_await m_Rows.get(publishKey(Request.m_PublishId));
  if (!Read)
    co_return Read.error();
  if (!*Read)
    co_return std::optional<PublishReply>();
  PublishReply Reply;
  Reply.m_Revision = Request.m_Base + ConfigRevision(1);
  static_cast<void>(co_await m_Cluster.pollHead());
  bool HasCopy = false;
  for (const ConfirmedRevision &Entry : m_Cluster.membership().confirmedRevisions())
    HasCopy =
        HasCopy || (Entry.m_Revision >= Reply.m_Revision && Entry.m_Domain != m_Runtime.m_Settings.m_Domain);
  Reply.m_Outcome = HasCopy ? PublishOutcome::Published : PublishOutcome::SingleCopy;
  co_return std::optional<PublishReply>(std::move(Reply));
}

asio::awaitable<std::string> PublicationService::winnerOf(ConfigRevision Revision) {
  static_cast<void>(co_await m_Cluster.pollHead());
  Expected<HistoryEntry> Entry = co_await historyEntry(Revision);
  co_return Entry ? Entry->m_Operator : std::string();
}

asio::awaitable<Expected<HistoryEntry>> PublicationService::historyEntry(ConfigRevision Revision) {
  Expected<std::optional<Row>> Read = co_await m_Rows.get(historyKey(Revision));
  if (!Read)
    co_return Read.error();
  if (!*Read)
    co_return HistoryEntry{};
  co_return decodeHistory((*Read)->m_Value);
}

asio::awaitable<Expected<HistoryReply>> PublicationService::history(std::size_t Limit) {
  Expected<std::vector<Row>> Rows = co_await m_Rows.scan(HistoryPrefix, Limit);
  if (!Rows)
    co_return Rows.error();
  HistoryReply Reply;
  for (const Row &Read : *Rows) {
    Expected<HistoryEntry> Entry = decodeHistory(Read.m_Value);
    if (!Entry)
      co_return Entry.error();
    Reply.m_Entries.push_back(std::move(*Entry));
  }
  co_return Reply;
}

} // namespace bulrushpitch
