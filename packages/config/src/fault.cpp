#include "bulrushpitch/config/fault.h"

#include <algorithm>
#include <numeric>

namespace bulrushpitch {

std::string Fault::toString() const {
  std::string Text;
  if (!m_File.empty())
    Text += m_File + ":" + (m_Line ? std::to_string(m_Line) + ":" : "") + " ";
  Text += "[" + std::to_string(static_cast<int>(m_Code)) + "]";
  if (!m_Kind.empty())
    Text += " " + m_Kind + (m_Name.empty() ? "" : " " + m_Name) + (m_Field.empty() ? ":" : ",");
  if (!m_Field.empty())
    Text += " " + m_Field + ":";
  Text += " " + m_Message;
  if (!m_Hint.empty())
    Text += " (did you mean '" + m_Hint + "'?)";
  return Text;
}

Error toError(const std::vector<Fault> &Faults, std::string Step) {
  std::string Detail = Faults.front().toString();
  if (Faults.size() > 1)
    Detail += " (and " + std::to_string(Faults.size() - 1) + " more)";
  return {Faults.front().m_Code, std::move(Step), "", Ran::No, std::move(Detail)};
}

namespace {

/// The restricted Damerau-Levenshtein distance: two swapped letters count as one edit.
std::size_t editDistance(const std::string &Left, const std::string &Right) {
  std::vector<std::size_t> BeforeLast;
  std::vector<std::size_t> Last(Right.size() + 1);
  std::iota(Last.begin(), Last.end(), std::size_t{0});
  for (std::size_t Row = 1; Row <= Left.size(); ++Row) {
    std::vector<std::size_t> Current(Right.size() + 1, Row);
    for (std::size_t Column = 1; Column <= Right.size(); ++Column) {
      const bool Same = Left[Row - 1] == Right[Column - 1];
      Current[Column] =
          std::min({Last[Column] + 1, Current[Column - 1] + 1, Last[Column - 1] + (Same ? 0U : 1U)});
      if (Row > 1 && Column > 1 && Left[Row - 1] == Right[Column - 2] && Left[Row - 2] == Right[Column - 1])
        Current[Column] = std::min(Current[Column], BeforeLast[Column - 2] + 1);
    }
    BeforeLast = std::move(Last);
    Last = std::move(Current);
  }
  return Last.back();
}

} // namespace

std::string nearestName(const std::string &Name, const std::vector<std::string> &Known) {
  // Longer inputs cannot be near a name of at most 64 characters, and would make the table large.
  if (Name.size() > 128)
    return "";
  std::string Nearest;
  std::size_t Least = std::max<std::size_t>(1, Name.size() / 3) + 1;
  for (const std::string &Candidate : Known) {
    const std::size_t Distance = Candidate.size() > 256 ? Least : editDistance(Name, Candidate);
    if (Distance < Least) {
      Least = Distance;
      Nearest = Candidate;
    }
  }
  return Nearest;
}

} // namespace bulrushpitch
