#include "bulrushpitch/forward/retry_window.h"

namespace bulrushpitch {

RetryWindow::RetryWindow(Duration Window, double Share, double Reserve)
    : m_StepLength(Window / static_cast<std::int64_t>(Steps)), m_Share(Share), m_Reserve(Reserve) {}

void RetryWindow::setBounds(double Share, double Reserve) {
  m_Share = Share;
  m_Reserve = Reserve;
}

RetryWindow::Step &RetryWindow::stepAt(TimePoint Now) {
  const std::int64_t Number = numberAt(Now);
  Step &Current = m_Steps[static_cast<std::size_t>(Number) % m_Steps.size()];
  if (Current.m_Number != Number)
    Current = Step{Number, 0, 0};
  return Current;
}

void RetryWindow::onRequest(TimePoint Now) { ++stepAt(Now).m_Requests; }

bool RetryWindow::allows(TimePoint Now, double KeptBack) const {
  const std::int64_t Number = numberAt(Now);
  double Requests = 0.0;
  double Retries = 0.0;
  for (const Step &Counted : m_Steps) {
    const std::int64_t Age = Number - Counted.m_Number;
    if (Counted.m_Number < 0 || Age > static_cast<std::int64_t>(Steps))
      continue;
    Retries += Counted.m_Retries;
    if (Age < static_cast<std::int64_t>(Steps))
      Requests += Counted.m_Requests;
  }
  return Retries + 1.0 <= (m_Share * Requests + m_Reserve) * (1.0 - KeptBack);
}

bool RetryWindow::takeRetry(TimePoint Now, double KeptBack) {
  if (!allows(Now, KeptBack))
    return false;
  ++stepAt(Now).m_Retries;
  return true;
}

} // namespace bulrushpitch
