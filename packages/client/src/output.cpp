#include "detail/output.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace bulrushpitch::detail {

void Table::print(std::ostream &Out) const {
  std::vector<std::size_t> Widths(m_Rows.front().size());
  for (const std::vector<std::string> &Row : m_Rows)
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  for (const std::vector<std::string> &Row : m_Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Out << Line << "\n";
  }
}

std::string timeText(std::int64_t Milliseconds) {
  const std::time_t Seconds = Milliseconds / 1000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[32];
  const std::size_t Length = std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%S", &Parts);
  char Fraction[8];
  std::snprintf(Fraction, sizeof(Fraction), ".%03dZ", static_cast<int>(Milliseconds % 1000));
  return std::string(Text, Length) + Fraction;
}

void printChanges(std::ostream &Out, const std::vector<ObjectChange> &Changes) {
  if (Changes.empty())
    Out << "no object differs\n";
  for (const ObjectChange &Change : Changes) {
    Out << nameOf(Change.m_Change) << " " << Change.m_Kind << " " << Change.m_Name << "\n";
    for (const FieldChange &Field : Change.m_Fields)
      Out << "  " << Field.m_Field << ": " << (Field.m_Before.empty() ? "(absent)" : Field.m_Before) << " -> "
          << (Field.m_After.empty() ? "(absent)" : Field.m_After) << "\n";
  }
}

namespace {

void printLists(std::ostream &Out, const StatusReply &Status) {
  Table Restrictions({"RESTRICTION", "KIND", "TARGET", "OPERATOR", "REVISION"});
  for (const Restriction &Each : Status.m_Restrictions)
    Restrictions.add({Each.m_Id.value(), nameOf(Each.m_Kind), Each.m_Target, Each.m_Operator,
                      std::to_string(Each.m_Revision.value())});
  Table Instances({"INSTANCE", "DOMAIN", "STATE", "CONFIRMED", "ADMIN"});
  for (const InstanceStatus &Each : Status.m_Instances)
    Instances.add({Each.m_Instance.value(), Each.m_Domain.value(), Each.m_State,
                   std::to_string(Each.m_Confirmed.value()), Each.m_Admin});
  Table Upstreams({"UPSTREAM", "DOMAIN", "STATE", "RUNNING", "LIMIT", "REASON"});
  for (const UpstreamStatus &Each : Status.m_Upstreams)
    Upstreams.add({Each.m_Upstream.value(), Each.m_Domain.value(), Each.m_State,
                   std::to_string(Each.m_Running), std::to_string(Each.m_Limit), Each.m_Reason});
  Table Leases({"LEASE", "FENCING", "EXPIRES IN"});
  for (const LeaseStatus &Each : Status.m_Leases)
    Leases.add({Each.m_Shard, std::to_string(Each.m_Fencing.value()),
                std::to_string(Each.m_ExpiresIn.count()) + " ms"});
  if (!Status.m_Restrictions.empty())
    Restrictions.print(Out << "\n");
  Instances.print(Out << "\n");
  Upstreams.print(Out << "\n");
  if (!Status.m_Leases.empty())
    Leases.print(Out << "\n");
}

} // namespace

void printStatus(std::ostream &Out, const StatusReply &Status) {
  Out << "instance " << Status.m_Instance << " in " << Status.m_Domain << " (" << Status.m_Region
      << "), revision " << Status.m_Revision << "\n";
  Out << (Status.m_Ready ? "ready" : "not ready: " + Status.m_NotReadyReason)
      << (Status.m_Draining ? ", draining" : "") << "\n";
  Out << "store " << (Status.m_StoreReachable ? "reachable" : "not reachable") << ", newest head-row read "
      << (Status.m_HeadAge ? std::to_string(Status.m_HeadAge->count()) + " ms ago" : "none") << ", "
      << Status.m_ChargesWaiting << " charges waiting\n";
  printLists(Out, Status);
}

} // namespace bulrushpitch::detail
