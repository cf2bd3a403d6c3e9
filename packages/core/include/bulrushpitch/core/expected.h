#ifndef BULRUSHPITCH_CORE_EXPECTED_H
#define BULRUSHPITCH_CORE_EXPECTED_H

#include "bulrushpitch/core/error.h"

#include <type_traits>
#include <utility>
#include <variant>

namespace bulrushpitch {

/// @brief A value or an Error, held by value.
///
/// LEAF keeps error objects in handler frames of the calling thread. Those frames are gone when a suspended
/// coroutine resumes, so asynchronous functions return Expected in place of Result.
///
/// @code
/// Expected<int> Port = 8080;
/// if (!Port)
///   return Port.error();
/// use(*Port);
/// @endcode
template <typename T> class [[nodiscard]] Expected {
public:
  Expected(T Value) : m_State(std::in_place_index<0>, std::move(Value)) {}
  Expected(Error Failure) : m_State(std::in_place_index<1>, std::move(Failure)) {}

  /// @return whether a value is held
  explicit operator bool() const { return m_State.index() == 0; }
  /// @return whether a value is held
  bool hasValue() const { return m_State.index() == 0; }

  /// @return the value
  /// @throw std::bad_variant_access if an error is held
  T &operator*() & { return std::get<0>(m_State); }
  const T &operator*() const & { return std::get<0>(m_State); }
  T &&operator*() && { return std::get<0>(std::move(m_State)); }
  T *operator->() { return &std::get<0>(m_State); }
  const T *operator->() const { return &std::get<0>(m_State); }

  /// @return the error
  /// @throw std::bad_variant_access if a value is held
  const Error &error() const { return std::get<1>(m_State); }

private:
  std::variant<T, Error> m_State;
};

/// @brief Success without a value.
struct Done {
  friend bool operator==(const Done &, const Done &) = default;
};

namespace detail {

/// @brief Names the value type of a Result.
template <typename T> struct ResultValue;
template <typename T> struct ResultValue<Result<T>> { using Type = T; };

} // namespace detail

/// @brief Runs a synchronous function that returns Result and keeps its error.
/// @param Call called without arguments; returns Result<T>
/// @return the value, or the Error that was reported
template <typename Function> auto capture(Function &&Call) {
  using T = typename detail::ResultValue<std::invoke_result_t<Function>>::Type;
  using Value = std::conditional_t<std::is_void_v<T>, Done, T>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Expected<Value>> {
        auto Outcome = Call();
        if (!Outcome)
          return Outcome.error();
        if constexpr (std::is_void_v<T>)
          return Expected<Value>(Done{});
        else
          return Expected<Value>(std::move(*Outcome));
      },
      [](const Error &Failure) { return Expected<Value>(Failure); },
      [] {
        return Expected<Value>(
            Error{ErrorCode::Internal, "capture", "", Ran::Unknown, "error without details"});
      });
}

} // namespace bulrushpitch

#endif // BULRUSHPITCH_CORE_EXPECTED_H
