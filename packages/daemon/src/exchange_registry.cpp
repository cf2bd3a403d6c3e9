#include "exchange_registry.h"

#include <string>
#include <utility>

namespace bulrushpitch {

void ExchangeRegistry::remove(ModelExchange &Exchange) {
  m_Active.erase(&Exchange);
  std::erase_if(m_ByAttempt, [&Exchange](const std::pair<const AttemptId, ModelExchange *> &Entry) {
    return Entry.second == &Exchange;
  });
}

AttemptId ExchangeRegistry::newAttemptId() {
  return AttemptId(m_Cluster.self().value() + "-" + std::to_string(m_Cluster.incarnation()) + "-" +
                   std::to_string(m_NextAttemptNumber++));
}

ModelExchange *ExchangeRegistry::findByAttempt(const AttemptId &Attempt) const {
  const auto Found = m_ByAttempt.find(Attempt);
  return Found == m_ByAttempt.end() ? nullptr : Found->second;
}

} // namespace bulrushpitch
