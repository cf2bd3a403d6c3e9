#include "detail/response_framing.h"

#include <boost/beast/http/error.hpp>

namespace bulrushpitch::detail {

namespace http = boost::beast::http;
using boost::system::error_code;
using std::string_view;

namespace {

constexpr string_view LineEnd = "\r\n";
constexpr string_view Blanks = " \t";
constexpr unsigned MinStatus = 100;
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned MinFinalStatus = 200;
constexpr unsigned MaxStatus = 599;

} // namespace

error_code statusFault(unsigned Status) {
  const bool MayCome = Status >= MinStatus && Status <= MaxStatus && Status != SwitchingProtocols;
  return MayCome ? error_code() : http::error::bad_status;
}

bool isInterim(unsigned Status) { return Status < MinFinalStatus; }

bool hasFoldedLine(string_view Bytes) {
  std::size_t LineBegin = 0;
  while (true) {
    const std::size_t LineSize = Bytes.substr(LineBegin).find(LineEnd);
    const bool EndsHead = LineSize == 0;
    if (EndsHead || LineSize == string_view::npos)
      return false;
    LineBegin += LineSize + LineEnd.size();
    if (LineBegin < Bytes.size() && Blanks.find(Bytes[LineBegin]) != string_view::npos)
      return true;
  }
}

} // namespace bulrushpitch::detail
