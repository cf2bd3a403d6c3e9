#include "detail/request_framing.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace bulrushpitch::detail {

namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::system::error_code;
using std::string_view;

namespace {

constexpr string_view LineEnd = "\r\n";
constexpr string_view Blanks = " \t";
constexpr string_view ChunkedVersion = "HTTP/1.1";

/// The fields that say where a request ends.
struct Framing {
  int m_Lengths = 0;
  int m_Codings = 0;
  string_view m_Length; ///< Value of the last Content-Length.
  string_view m_Coding; ///< Value of the last Transfer-Encoding.
};

string_view trim(string_view Text) {
  const std::size_t Begin = Text.find_first_not_of(Blanks);
  if (Begin == string_view::npos)
    return {};
  return Text.substr(Begin, Text.find_last_not_of(Blanks) - Begin + 1);
}

/// @return the first line, which is removed from the text
string_view takeLine(string_view &Text) {
  const std::size_t Size = std::min(Text.find(LineEnd), Text.size());
  const string_view Line = Text.substr(0, Size);
  Text.remove_prefix(std::min(Size + LineEnd.size(), Text.size()));
  return Line;
}

bool isDecimal(string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [](char Digit) { return Digit >= '0' && Digit <= '9'; });
}

/// @return false if the line isn't one whole field: it has no name, or continues the line before
bool readField(string_view Line, Framing &Found) {
  const std::size_t NameSize = Line.find(':');
  if (NameSize == string_view::npos || NameSize == 0 ||
      Line.substr(0, NameSize).find_first_of(Blanks) != string_view::npos)
    return false;
  const string_view Name = Line.substr(0, NameSize);
  const string_view Value = trim(Line.substr(NameSize + 1));
  if (iequals(Name, "Content-Length")) {
    ++Found.m_Lengths;
    Found.m_Length = Value;
  } else if (iequals(Name, "Transfer-Encoding")) {
    ++Found.m_Codings;
    Found.m_Coding = Value;
  }
  return true;
}

} // namespace

HeadProgress findHeadEnd(string_view Bytes) {
  std::size_t LineBegin = 0;
  while (true) {
    const std::size_t Control = Bytes.find_first_of(string_view("\r\n\0", 3), LineBegin);
    if (Control == string_view::npos || (Bytes[Control] == '\r' && Control + 1 == Bytes.size()))
      return {};
    if (Bytes.substr(Control, LineEnd.size()) != LineEnd)
      return {std::nullopt, http::error::bad_line_ending};
    const std::size_t NextLine = Control + LineEnd.size();
    if (Control == LineBegin)
      return {NextLine, {}};
    LineBegin = NextLine;
  }
}

error_code framingFault(string_view Head) {
  const string_view RequestLine = takeLine(Head);
  Framing Found;
  for (string_view Line = takeLine(Head); !Line.empty(); Line = takeLine(Head))
    if (!readField(Line, Found))
      return http::error::bad_field;
  if (Found.m_Lengths > 1)
    return http::error::multiple_content_length;
  if (Found.m_Lengths == 1 && !isDecimal(Found.m_Length))
    return http::error::bad_content_length;
  if (Found.m_Codings == 0)
    return {};
  const bool Clear = Found.m_Codings == 1 && Found.m_Lengths == 0 && iequals(Found.m_Coding, "chunked") &&
                     RequestLine.ends_with(ChunkedVersion);
  return Clear ? error_code() : http::error::bad_transfer_encoding;
}

} // namespace bulrushpitch::detail
