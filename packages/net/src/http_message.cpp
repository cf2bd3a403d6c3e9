#include "bulrushpitch/net/http_message.h"

#include <boost/beast/core/string.hpp>

namespace bulrushpitch {

std::optional<std::string_view> HttpHeaders::find(std::string_view Name) const {
  for (const std::pair<std::string, std::string> &Field : m_Fields)
    if (boost::beast::iequals(boost::beast::string_view(Field.first.data(), Field.first.size()),
                              boost::beast::string_view(Name.data(), Name.size())))
      return Field.second;
  return std::nullopt;
}

std::string_view HttpRequest::path() const {
  const std::string_view Target = m_Target;
  return Target.substr(0, Target.find('?'));
}

std::optional<std::string_view> HttpRequest::query(std::string_view Name) const {
  const std::string_view Target = m_Target;
  std::size_t Start = Target.find('?');
  while (Start != std::string_view::npos) {
    const std::string_view Rest = Target.substr(Start + 1);
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos ? std::string_view() : Pair.substr(Equals + 1);
    Start = Target.find('&', Start + 1);
  }
  return std::nullopt;
}

} // namespace bulrushpitch
