#include "bulrushpitch/forward/out_of_service_domains.h"

namespace bulrushpitch {

namespace {

/// Twice the time in which operators write an order again, about two seconds after the store's return, and in
/// which it must be in force, 5 s.
constexpr Duration HoldPeriod = 2 * std::chrono::seconds(2 + 5);

} // namespace

void OutOfServiceDomains::update(const std::vector<DomainId> &Out, const std::vector<DomainId> &Back) {
  for (const DomainId &Domain : Out)
    m_Domains[Domain].reset();
  for (const DomainId &Domain : Back)
    m_Domains.erase(Domain);
}

void OutOfServiceDomains::replaceAll(const std::vector<DomainId> &Out) {
  std::erase_if(m_Domains, [](const auto &Entry) { return !Entry.second; });
  update(Out, {});
}

void OutOfServiceDomains::replaceAllAfterRestore(const std::vector<DomainId> &Out, TimePoint Now) {
  for (auto &Entry : m_Domains)
    Entry.second = Now + HoldPeriod;
  update(Out, {});
}

std::vector<DomainId> OutOfServiceDomains::expire(TimePoint Now) {
  std::vector<DomainId> Returned;
  std::erase_if(m_Domains, [&](const auto &Entry) {
    if (!Entry.second || Now < *Entry.second)
      return false;
    Returned.push_back(Entry.first);
    return true;
  });
  return Returned;
}

std::set<DomainId> OutOfServiceDomains::domains() const {
  std::set<DomainId> Domains;
  for (const auto &Entry : m_Domains)
    Domains.insert(Entry.first);
  return Domains;
}

std::optional<TimePoint> OutOfServiceDomains::heldUntil(const DomainId &Domain) const {
  const auto Found = m_Domains.find(Domain);
  return Found == m_Domains.end() ? std::nullopt : Found->second;
}

} // namespace bulrushpitch
