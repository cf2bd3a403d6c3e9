#include "bulrushpitch/core/error.h"

#include <doctest/doctest.h>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

using namespace bulrushpitch;

namespace {

constexpr int FirstNumber = 100;
constexpr int LastNumber = 999;

std::string strip(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(" `");
  const std::size_t Last = Text.find_last_not_of(" `");
  return First == std::string::npos ? "" : Text.substr(First, Last - First + 1);
}

/// @return the cells of a table row that starts with a number of three digits; nothing for any other line
std::vector<std::string> columns(const std::string &Line) {
  std::vector<std::string> Cells;
  std::istringstream In(Line);
  std::string Cell;
  std::getline(In, Cell, '|');
  while (std::getline(In, Cell, '|'))
    Cells.push_back(strip(Cell));
  const bool IsNumber = !Cells.empty() && Cells.front().size() == 3 &&
                        Cells.front().find_first_not_of("0123456789") == std::string::npos;
  return IsNumber ? Cells : std::vector<std::string>();
}

/// @return name by number, as the page lists them
std::map<int, std::string> listedOnPage() {
  std::ifstream File(BULRUSHPITCH_ERROR_PAGE);
  REQUIRE_MESSAGE(File, "cannot read " << BULRUSHPITCH_ERROR_PAGE);
  std::map<int, std::string> Listed;
  std::string Line;
  while (std::getline(File, Line)) {
    const std::vector<std::string> Cells = columns(Line);
    if (Cells.empty())
      continue;
    REQUIRE_MESSAGE(Cells.size() == 7, "a row has other than 7 columns: " << Line);
    for (const std::string &Cell : Cells)
      CHECK_MESSAGE(!Cell.empty(), "a row has an empty cell: " << Line);
    const bool IsNew = Listed.emplace(std::stoi(Cells[0]), Cells[1]).second;
    CHECK_MESSAGE(IsNew, "number " << Cells[0] << " is listed twice");
  }
  return Listed;
}

/// @return name by number, as the code has them
std::map<int, std::string> knownToCode() {
  std::map<int, std::string> Known;
  for (int Number = FirstNumber; Number <= LastNumber; ++Number)
    if (const std::string_view Name = nameOf(static_cast<ErrorCode>(Number)); Name != "Unknown")
      Known.emplace(Number, Name);
  return Known;
}

} // namespace

// Guards against a number that is added, renamed or removed in the code and not on the page, or the reverse.
TEST_CASE("the error page lists the numbers and names of the code") {
  const std::map<int, std::string> Listed = listedOnPage();
  const std::map<int, std::string> Known = knownToCode();
  REQUIRE_FALSE(Known.empty());
  for (const std::pair<const int, std::string> &Entry : Known) {
    const auto Found = Listed.find(Entry.first);
    REQUIRE_MESSAGE(Found != Listed.end(), Entry.first << " " << Entry.second << " is not on the page");
    CHECK_MESSAGE(Found->second == Entry.second,
                  "the page names " << Entry.first << " " << Found->second << ", the code " << Entry.second);
  }
  for (const std::pair<const int, std::string> &Entry : Listed)
    CHECK_MESSAGE(Known.contains(Entry.first), Entry.first << " is on the page only");
}
