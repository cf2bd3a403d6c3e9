#ifndef BULRUSHPITCH_NET_HTTP_MESSAGE_H
#define BULRUSHPITCH_NET_HTTP_MESSAGE_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushpitch {

/// @brief A TCP address by IP number.
struct Endpoint {
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 0;

  /// @return "address:port"
  std::string toString() const { return m_Address + ":" + std::to_string(m_Port); }
  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// @brief Header fields in their order; names compare without regard to case.
class HttpHeaders {
public:
  /// @brief Appends a field.
  void add(std::string Name, std::string Value) { m_Fields.emplace_back(std::move(Name), std::move(Value)); }
  /// @return the first field of that name, if any
  /// @complexity linear in the number of fields
  std::optional<std::string_view> find(std::string_view Name) const;
  /// @return all fields in their order
  const std::vector<std::pair<std::string, std::string>> &fields() const { return m_Fields; }

private:
  std::vector<std::pair<std::string, std::string>> m_Fields;
};

/// @brief A request, whole.
struct HttpRequest {
  std::string m_Method = "GET";
  std::string m_Target = "/"; ///< Path and query.
  HttpHeaders m_Headers;
  std::string m_Body;

  /// @return the target without its query
  std::string_view path() const;
  /// @brief Finds a query parameter.
  /// @return its text as sent, without percent decoding; nothing if it is absent
  std::optional<std::string_view> query(std::string_view Name) const;
};

/// @brief A response, whole.
struct HttpResponse {
  unsigned m_Status = 200;
  HttpHeaders m_Headers;
  std::string m_Body;
};

} // namespace bulrushpitch

#endif // BULRUSHPITCH_NET_HTTP_MESSAGE_H
