#include "detail/response_framing.h"

#include <boost/beast/http/error.hpp>

namespace bulrushpitch::detail {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

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

} // namespace bulrushpitch::detail
