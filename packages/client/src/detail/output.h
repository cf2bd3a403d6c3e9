#ifndef BULRUSHPITCH_CLIENT_DETAIL_OUTPUT_H
#define BULRUSHPITCH_CLIENT_DETAIL_OUTPUT_H

#include "bulrushpitch/config/admin_api.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace bulrushpitch::detail {

/// @brief Text in aligned columns.
class Table {
public:
  explicit Table(std::vector<std::string> Head) { m_Rows.push_back(std::move(Head)); }
  void add(std::vector<std::string> Row) { m_Rows.push_back(std::move(Row)); }
  void print(std::ostream &Out) const;

private:
  std::vector<std::vector<std::string>> m_Rows;
};

/// @param Milliseconds since 1970
/// @return for example "2026-12-04T04:05:06.007Z"
std::string timeText(std::int64_t Milliseconds);

void printChanges(std::ostream &Out, const std::vector<ObjectChange> &Changes);
void printStatus(std::ostream &Out, const StatusReply &Status);

/// @return JSON text of a list of messages
template <typename Message> std::string jsonList(const std::vector<Message> &Messages) {
  std::string Text = "[";
  for (const Message &Element : Messages)
    Text += (Text.size() > 1 ? "," : "") + encodeMessage(Element);
  return Text + "]";
}

/// @return the names, joined by ", "
template <typename Id> std::string joined(const std::vector<Id> &Names) {
  std::string Text;
  for (const Id &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name.value();
  return Text;
}

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_CLIENT_DETAIL_OUTPUT_H
