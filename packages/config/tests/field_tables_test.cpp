#include "support.h"

#include <doctest/doctest.h>
#include <map>

using namespace bulrushpitch;
using namespace bulrushpitch::testing;

namespace {

std::string strip(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(" `");
  const std::size_t Last = Text.find_last_not_of(" `");
  return First == std::string::npos ? "" : Text.substr(First, Last - First + 1);
}

/// Reads the six columns of a table row; nothing if the line is none.
std::vector<std::string> columns(const std::string &Line) {
  std::vector<std::string> Cells;
  std::istringstream In(Line);
  std::string Cell;
  std::getline(In, Cell, '|');
  while (std::getline(In, Cell, '|'))
    Cells.push_back(strip(Cell));
  return Cells.size() == 6 && Line.starts_with("| `") ? Cells : std::vector<std::string>();
}

/// Reads the field tables of a page by the heading above each.
std::map<std::string, std::vector<FieldInfo>> tablesOf(const std::string &Page) {
  std::map<std::string, std::vector<FieldInfo>> Tables;
  std::istringstream In(readFile(Page));
  std::string Line;
  std::string Heading;
  while (std::getline(In, Line)) {
    if (Line.starts_with("### "))
      Heading = Line.substr(4);
    const std::vector<std::string> Cells = columns(Line);
    if (Cells.empty())
      continue;
    CHECK_MESSAGE(!Cells[5].empty(), Page << ": " << Cells[0] << " is not explained");
    Tables[Heading].push_back({Cells[0], Cells[1], Cells[2], Cells[3], Cells[4] == "yes"});
  }
  return Tables;
}

std::string textOf(const std::vector<FieldInfo> &Rows) {
  std::string Text;
  for (const FieldInfo &Row : Rows)
    Text += Row.m_Path + " | " + Row.m_Type + " | " + Row.m_Range + " | " + Row.m_Default + " | " +
            (Row.m_Required ? "yes" : "no") + "\n";
  return Text;
}

} // namespace

// Guards against pages that describe fields, types or defaults which the code no longer has.
TEST_CASE("the pages list exactly the fields of the code") {
  std::map<std::string, std::vector<FieldInfo>> Configuration = tablesOf("docs/configuration.md");
  CHECK(Configuration.size() == objectKinds().size() + 1);
  for (const std::string &Kind : objectKinds())
    CHECK(textOf(Configuration[Kind]) == textOf(objectFields(Kind)));
  CHECK(textOf(Configuration["settings"]) == textOf(settingsFields()));
  std::map<std::string, std::vector<FieldInfo>> Messages = tablesOf("docs/admin-api.md");
  CHECK(Messages.size() == messageNames().size());
  for (const std::string &Message : messageNames())
    CHECK(textOf(Messages[Message]) == textOf(messageFields(Message)));
}
