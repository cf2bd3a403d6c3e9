#include "bulrushpitch/daemon/explain_log.h"

namespace bulrushpitch {

void ExplainLog::add(const RequestId &Request, std::string Step, const UpstreamId &Upstream,
                     const VersionId &ChosenVersion, std::string Reason) {
  std::vector<DecisionRecord> &Decisions = m_Records[Request];
  if (Decisions.empty())
    m_InsertionOrder.push_back(Request);
  if (Decisions.size() < MaxDecisionsPerRequest) {
    DecisionRecord Record;
    Record.m_At = m_Runtime.m_WallClock().time_since_epoch().count();
    Record.m_Instance = m_Runtime.m_Settings.m_Instance;
    Record.m_Step = std::move(Step);
    if (!Upstream.value().empty())
      Record.m_Upstream = Upstream;
    if (!ChosenVersion.value().empty())
      Record.m_Version = ChosenVersion;
    Record.m_Reason = std::move(Reason);
    Decisions.push_back(std::move(Record));
  }
  while (m_InsertionOrder.size() > MaxRequests) {
    m_Records.erase(m_InsertionOrder.front());
    m_InsertionOrder.pop_front();
  }
}

std::vector<DecisionRecord> ExplainLog::find(const RequestId &Request) const {
  const auto Found = m_Records.find(Request);
  return Found == m_Records.end() ? std::vector<DecisionRecord>() : Found->second;
}

} // namespace bulrushpitch
