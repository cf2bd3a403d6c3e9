#ifndef BULRUSHPITCH_CORE_STRONG_H
#define BULRUSHPITCH_CORE_STRONG_H

#include <compare>
#include <concepts>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bulrushpitch {

/// @brief A value of type @p Rep that cannot be mixed up with another kind of value.
///
/// @tparam Tag an incomplete type that names the kind of value
/// @tparam Rep the representation, a string or a number
///
/// @code
/// struct TeamTag;
/// using TeamId = Strong<TeamTag, std::string>;
/// TeamId Team("guild");
/// @endcode
template <typename Tag, typename Rep> class Strong {
public:
  using Representation = Rep;

  Strong() = default;
  /// @param Value the value to hold
  explicit Strong(Rep Value) : m_Value(std::move(Value)) {}

  /// @return the value held
  const Rep &value() const { return m_Value; }

  friend auto operator<=>(const Strong &, const Strong &) = default;
  friend bool operator==(const Strong &, const Strong &) = default;
  friend std::ostream &operator<<(std::ostream &Out, const Strong &Value) { return Out << Value.m_Value; }

  friend Strong operator+(const Strong &Left, const Strong &Right) requires std::integral<Rep> {
    return Strong(static_cast<Rep>(Left.m_Value + Right.m_Value));
  }
  friend Strong operator-(const Strong &Left, const Strong &Right) requires std::integral<Rep> {
    return Strong(static_cast<Rep>(Left.m_Value - Right.m_Value));
  }
  Strong &operator+=(const Strong &Other) requires std::integral<Rep> {
    m_Value = static_cast<Rep>(m_Value + Other.m_Value);
    return *this;
  }

private:
  Rep m_Value{};
};

} // namespace bulrushpitch

template <typename Tag, typename Rep> struct std::hash<bulrushpitch::Strong<Tag, Rep>> {
  std::size_t operator()(const bulrushpitch::Strong<Tag, Rep> &Value) const noexcept {
    return std::hash<Rep>()(Value.value());
  }
};

#endif // BULRUSHPITCH_CORE_STRONG_H
