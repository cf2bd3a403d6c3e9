#include "bulrushpitch/daemon/table_executor.h"

#include "bulrushpitch/net/async.h"

namespace bulrushpitch {

namespace asio = boost::asio;

namespace {

WriteCondition toPlatform(TableCondition Condition) {
  switch (Condition) {
  case TableCondition::Absent:
    return WriteCondition::Absent;
  case TableCondition::Version:
    return WriteCondition::Version;
  case TableCondition::SkipIfPresent:
    return WriteCondition::SkipIfPresent;
  case TableCondition::Any:
    break;
  }
  return WriteCondition::Any;
}

TableRow toProtocol(Row Stored) {
  return TableRow{std::move(Stored.m_Key), std::move(Stored.m_Value), Stored.m_RowVersion};
}

} // namespace

void TableExecutor::commit(CommitRows Action, CommitCallback Callback) {
  spawn(m_Runtime.m_Context, runCommit(std::move(Action), std::move(Callback)));
}

void TableExecutor::read(ReadRow Action, ReadCallback Callback) {
  spawn(m_Runtime.m_Context, runRead(std::move(Action), std::move(Callback)));
}

asio::awaitable<void> TableExecutor::runCommit(CommitRows Action, CommitCallback Callback) {
  const std::shared_ptr<TableExecutor> Self = shared_from_this();
  std::vector<RowWrite> Writes;
  Writes.reserve(Action.m_Writes.size());
  for (TableWrite &Write : Action.m_Writes) {
    RowWrite Converted;
    Converted.m_Key = std::move(Write.m_Key);
    Converted.m_Value = std::move(Write.m_Value);
    Converted.m_Condition = toPlatform(Write.m_Condition);
    Converted.m_ExpectedVersion = Write.m_ExpectedVersion;
    Writes.push_back(std::move(Converted));
  }
  ++m_Writes;
  Expected<CommitOutcome> Committed = co_await m_TableService.commit(std::move(Writes));
  if (!Committed) {
    Callback(Action.m_Token, Committed.error());
    co_return;
  }
  TableOutcome Outcome;
  Outcome.m_Committed = Committed->m_Committed;
  Outcome.m_Written = std::move(Committed->m_Written);
  for (Row &Stored : Committed->m_Rows)
    Outcome.m_Rows.push_back(toProtocol(std::move(Stored)));
  Callback(Action.m_Token, std::move(Outcome));
}

asio::awaitable<void> TableExecutor::runRead(ReadRow Action, ReadCallback Callback) {
  const std::shared_ptr<TableExecutor> Self = shared_from_this();
  ++m_Reads;
  Expected<std::optional<Row>> Stored = co_await m_TableService.get(std::move(Action.m_Key));
  if (!Stored) {
    Callback(Action.m_Token, Stored.error());
    co_return;
  }
  std::optional<TableRow> Converted;
  if (*Stored)
    Converted = toProtocol(std::move(**Stored));
  Callback(Action.m_Token, std::move(Converted));
}

} // namespace bulrushpitch
