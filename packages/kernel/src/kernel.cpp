#include "bulrushpitch/kernel/kernel.h"

#include <stdexcept>

namespace bulrushpitch {

void Kernel::add(std::string Name, std::shared_ptr<Service> Added) {
  if (!m_Services.emplace(Name, std::move(Added)).second)
    throw std::invalid_argument("service '" + Name + "' is already registered");
  m_Order.push_back(std::move(Name));
}

std::shared_ptr<Service> Kernel::lookUp(std::string_view Name) const {
  const auto Found = m_Services.find(Name);
  return Found == m_Services.end() ? nullptr : Found->second;
}

Result<void> Kernel::start() {
  while (m_Started < m_Order.size()) {
    Result<void> Started = m_Services.at(m_Order[m_Started])->start();
    if (!Started) {
      stop();
      return Started;
    }
    ++m_Started;
  }
  return {};
}

void Kernel::stop() {
  while (m_Started > 0)
    m_Services.at(m_Order[--m_Started])->stop();
}

} // namespace bulrushpitch
