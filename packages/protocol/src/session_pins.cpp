#include "bulrushpitch/protocol/session_pins.h"

#include "detail/json_row.h"

#include <utility>

namespace bulrushpitch {

using nlohmann::json;

std::string sessionKey(const TeamId &Team, const SessionId &Session) {
  return "session/" + Team.value() + "/" + Session.value();
}

std::string encodePin(const PinRow &Row) {
  return json{{"model", Row.m_Model.value()}, {"version", Row.m_Version.value()}}.dump();
}

Expected<PinRow> decodePin(const std::string &Value) {
  return detail::decodeRow(Value, "session row", [](const json &Object) {
    return PinRow{ModelId(Object.at("model").get<std::string>()),
                  VersionId(Object.at("version").get<std::string>())};
  });
}

PinActions SessionPins::pin(TimePoint, const PinRequest &Request, std::uint64_t &Call) {
  Call = m_NextCall++;
  m_Calls.emplace(Call, Request);
  return {CommitRows{
      Call,
      {TableWrite{sessionKey(Request.m_Team, Request.m_Session),
                  encodePin(PinRow{Request.m_Model, Request.m_Version}), TableCondition::SkipIfPresent, 0}}}};
}

PinActions SessionPins::committed(TimePoint, std::uint64_t Token, const CommitResult &Outcome) {
  const auto Found = m_Calls.find(Token);
  if (Found == m_Calls.end())
    return {};
  if (Outcome && !Outcome->m_Rows.empty())
    return decide(Token, Outcome->m_Rows.front().m_Value);
  return {ReadRow{Token, sessionKey(Found->second.m_Team, Found->second.m_Session)}};
}

PinActions SessionPins::rowRead(TimePoint, std::uint64_t Token, const ReadResult &Outcome) {
  if (m_Calls.count(Token) == 0)
    return {};
  if (!Outcome)
    return refuse(Token, Outcome.error().m_Detail);
  if (!*Outcome)
    return refuse(Token, "the session's row could not be written");
  return decide(Token, (*Outcome)->m_Value);
}

PinActions SessionPins::tick(TimePoint Now) {
  std::vector<std::uint64_t> ExpiredCalls;
  for (const std::pair<const std::uint64_t, PinRequest> &Entry : m_Calls)
    if (Now > Entry.second.m_Deadline)
      ExpiredCalls.push_back(Entry.first);
  PinActions Actions;
  for (std::uint64_t Call : ExpiredCalls)
    for (PinAction &Action : refuse(Call, "the table service did not respond before the deadline"))
      Actions.push_back(std::move(Action));
  return Actions;
}

PinActions SessionPins::decide(std::uint64_t Call, const std::string &Value) {
  const Expected<PinRow> Row = decodePin(Value);
  if (!Row)
    return refuse(Call, Row.error().m_Detail);
  const PinRequest Request = m_Calls.at(Call);
  m_Calls.erase(Call);
  if (Row->m_Model != Request.m_Model)
    return {PinDecision{Call, std::nullopt,
                        Error{ErrorCode::SessionTokenInvalid, "pin session", "table service", Ran::No,
                              "the session belongs to model " + Row->m_Model.value()}}};
  return {PinDecision{Call, Row->m_Version, std::nullopt}};
}

PinActions SessionPins::refuse(std::uint64_t Call, const std::string &Detail) {
  m_Calls.erase(Call);
  return {PinDecision{Call, std::nullopt,
                      Error{ErrorCode::SessionStoreUnavailable, "pin session", "table service", Ran::No,
                            Detail + "; send the session token in place of the session id"}}};
}

} // namespace bulrushpitch
