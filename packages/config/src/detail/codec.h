#ifndef BULRUSHPITCH_CONFIG_DETAIL_CODEC_H
#define BULRUSHPITCH_CONFIG_DETAIL_CODEC_H

/// @file
/// @brief One field table per structure drives reading, writing, comparison and documentation.

#include "bulrushpitch/config/fault.h"
#include "bulrushpitch/config/settings.h"
#include "bulrushpitch/core/ids.h"

#include <array>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace bulrushpitch::detail {

using Json = nlohmann::json;

/// @brief What a text field must look like.
struct TextRule {
  const char *m_Type; ///< For field tables.
  const char *m_Message;
  bool (*m_Valid)(std::string_view);
};

extern const TextRule NameRule;
extern const TextRule KeyHashRule;
extern const TextRule IpRule;
extern const TextRule PathRule;
extern const TextRule MethodRule;
extern const TextRule SecretRule;

inline constexpr double Unlimited = std::numeric_limits<double>::infinity();

/// @brief One row of a field table.
struct FieldSpec {
  const char *m_Name;
  bool m_Required = false;
  const TextRule *m_Rule = nullptr;
  double m_Min = -Unlimited;
  double m_Max = Unlimited;
};

inline FieldSpec requiredField(const char *Name, const TextRule *Rule = nullptr) {
  return {Name, true, Rule, -Unlimited, Unlimited};
}
inline FieldSpec optionalField(const char *Name, const TextRule *Rule = nullptr) {
  return {Name, false, Rule, -Unlimited, Unlimited};
}
inline FieldSpec between(FieldSpec Spec, double Min, double Max = Unlimited) {
  Spec.m_Min = Min;
  Spec.m_Max = Max;
  return Spec;
}

/// @param IsDuration whether the limits are milliseconds
/// @return for example "0 to 1", or nothing if all values are allowed
std::string rangeText(const FieldSpec &Spec, bool IsDuration = false);

/// @brief Collects faults under the path of the field being read.
class FaultSink {
public:
  void add(ErrorCode Code, std::string Message, std::string Hint = {});
  /// @return the path of the field being read
  const std::string &path() const { return m_Path; }
  const std::vector<Fault> &faults() const { return m_Faults; }

  /// @brief Extends the path while it lives.
  class Scope {
  public:
    Scope(FaultSink &Sink, const std::string &Segment);
    ~Scope() { m_Sink.m_Path.resize(m_Length); }
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;

  private:
    FaultSink &m_Sink;
    std::size_t m_Length;
  };

private:
  std::string m_Path;
  std::vector<Fault> m_Faults;
};

/// @brief The field table of a structure: `template <V, T> static void apply(V &Visit, T &Object)` calls
/// Visit once for each field with a FieldSpec and the member.
template <typename T> struct Describe;

template <typename T>
concept Described = requires {
  sizeof(Describe<T>);
};

/// @brief The texts of an enumeration: `static constexpr std::array<std::pair<E, const char *>, N> Values`.
template <typename E> struct EnumNames;

/// @return whether the number is within the field's range; adds a fault if not
bool checkRange(double Value, const FieldSpec &Spec, FaultSink &Sink);
/// @brief Reads a duration such as "30 s".
std::optional<std::chrono::milliseconds> parseDuration(std::string_view Text);
/// @return for example "30 s" or "1500 ms"
std::string durationText(std::chrono::milliseconds Value);
/// @brief Parses JSON that has no key twice in an object.
std::optional<Json> parseJson(std::string_view Text, FaultSink &Sink);
/// @return JSON text without spaces; bytes that are not UTF-8 are replaced
std::string dump(const Json &Value);
/// @return the value as field tables show it; empty for null, empty text and empty lists
std::string defaultText(const Json &Value);
/// @brief Reads and checks a text value.
void decodeText(const Json &In, std::string &Out, const FieldSpec &Spec, FaultSink &Sink);
void decodeDuration(const Json &In, std::chrono::milliseconds &Out, const FieldSpec &Spec, FaultSink &Sink);
void decodeAddress(const Json &In, SocketAddress &Out, FaultSink &Sink);
/// @brief Reports keys of an object that are not in its field table.
void reportUnknown(const Json &In, const std::vector<std::string> &Known, FaultSink &Sink);

template <typename T> struct Codec;

template <> struct Codec<bool> {
  static Json encode(bool Value) { return Value; }
  static void decode(const Json &In, bool &Out, const FieldSpec &, FaultSink &Sink) {
    if (In.is_boolean())
      Out = In.get<bool>();
    else
      Sink.add(ErrorCode::BadFieldValue, "must be true or false");
  }
  static std::string typeName(const FieldSpec &) { return "true or false"; }
};

template <std::integral T> struct Codec<T> {
  static Json encode(T Value) { return Value; }
  static void decode(const Json &In, T &Out, const FieldSpec &Spec, FaultSink &Sink) {
    if (!In.is_number_integer())
      return Sink.add(ErrorCode::BadFieldValue, "must be a whole number");
    const bool Fits = In.is_number_unsigned() ? std::in_range<T>(In.get<std::uint64_t>())
                                              : std::in_range<T>(In.get<std::int64_t>());
    if (!Fits)
      return Sink.add(ErrorCode::BadFieldValue, "is out of range");
    const T Value = In.get<T>();
    if (checkRange(static_cast<double>(Value), Spec, Sink))
      Out = Value;
  }
  static std::string typeName(const FieldSpec &) { return "whole number"; }
};

template <std::floating_point T> struct Codec<T> {
  static Json encode(T Value) { return Value; }
  static void decode(const Json &In, T &Out, const FieldSpec &Spec, FaultSink &Sink) {
    if (!In.is_number())
      return Sink.add(ErrorCode::BadFieldValue, "must be a number");
    const T Value = In.get<T>();
    if (checkRange(Value, Spec, Sink))
      Out = Value;
  }
  static std::string typeName(const FieldSpec &) { return "number"; }
};

template <> struct Codec<std::string> {
  static Json encode(const std::string &Value) { return Value; }
  static void decode(const Json &In, std::string &Out, const FieldSpec &Spec, FaultSink &Sink) {
    decodeText(In, Out, Spec, Sink);
  }
  static std::string typeName(const FieldSpec &Spec) { return Spec.m_Rule ? Spec.m_Rule->m_Type : "text"; }
};

/// @brief What field tables call a text that names an object.
template <typename Tag> struct ReferenceType { static constexpr const char *Text = nullptr; };
template <> struct ReferenceType<ModelTag> { static constexpr const char *Text = "model name"; };
template <> struct ReferenceType<VersionTag> { static constexpr const char *Text = "version name"; };
template <> struct ReferenceType<CascadeTag> { static constexpr const char *Text = "cascade name"; };
template <> struct ReferenceType<ServiceTag> { static constexpr const char *Text = "service name"; };
template <> struct ReferenceType<DomainTag> { static constexpr const char *Text = "failure domain name"; };

template <typename Tag, typename Rep> struct Codec<Strong<Tag, Rep>> {
  static Json encode(const Strong<Tag, Rep> &Value) { return Codec<Rep>::encode(Value.value()); }
  static void decode(const Json &In, Strong<Tag, Rep> &Out, const FieldSpec &Spec, FaultSink &Sink) {
    Rep Value = Out.value();
    Codec<Rep>::decode(In, Value, Spec, Sink);
    Out = Strong<Tag, Rep>(std::move(Value));
  }
  static std::string typeName(const FieldSpec &Spec) {
    if (!Spec.m_Rule && ReferenceType<Tag>::Text)
      return ReferenceType<Tag>::Text;
    return Codec<Rep>::typeName(Spec);
  }
};

template <> struct Codec<std::chrono::milliseconds> {
  static Json encode(std::chrono::milliseconds Value) { return durationText(Value); }
  static void decode(const Json &In, std::chrono::milliseconds &Out, const FieldSpec &Spec, FaultSink &Sink) {
    decodeDuration(In, Out, Spec, Sink);
  }
  static std::string typeName(const FieldSpec &) { return "duration"; }
};

template <> struct Codec<SocketAddress> {
  static Json encode(const SocketAddress &Value) { return Value.toString(); }
  static void decode(const Json &In, SocketAddress &Out, const FieldSpec &, FaultSink &Sink) {
    decodeAddress(In, Out, Sink);
  }
  static std::string typeName(const FieldSpec &) { return "IP:port"; }
};

template <typename E>
requires std::is_enum_v<E>
struct Codec<E> {
  static Json encode(E Value) { return textOf(Value); }
  static const char *textOf(E Value) {
    for (const std::pair<E, const char *> &Entry : EnumNames<E>::Values)
      if (Entry.first == Value)
        return Entry.second;
    return "";
  }
  static void decode(const Json &In, E &Out, const FieldSpec &Spec, FaultSink &Sink) {
    const std::string Text = In.is_string() ? In.get<std::string>() : std::string();
    std::vector<std::string> Known;
    for (const std::pair<E, const char *> &Entry : EnumNames<E>::Values) {
      if (Text == Entry.second) {
        Out = Entry.first;
        return;
      }
      Known.emplace_back(Entry.second);
    }
    Sink.add(ErrorCode::BadFieldValue, "must be one of: " + typeName(Spec), nearestName(Text, Known));
  }
  static std::string typeName(const FieldSpec &) {
    std::string Text;
    for (const std::pair<E, const char *> &Entry : EnumNames<E>::Values)
      Text += (Text.empty() ? "" : ", ") + std::string(Entry.second);
    return Text;
  }
};

template <typename T> struct Codec<std::optional<T>> {
  static Json encode(const std::optional<T> &Value) { return Value ? Codec<T>::encode(*Value) : Json(); }
  static void decode(const Json &In, std::optional<T> &Out, const FieldSpec &Spec, FaultSink &Sink) {
    Codec<T>::decode(In, Out.emplace(), Spec, Sink);
  }
  static std::string typeName(const FieldSpec &Spec) { return Codec<T>::typeName(Spec); }
};

template <typename T> struct Codec<std::vector<T>> {
  static Json encode(const std::vector<T> &Values) {
    Json Out = Json::array();
    for (const T &Value : Values)
      Out.push_back(Codec<T>::encode(Value));
    return Out;
  }
  static void decode(const Json &In, std::vector<T> &Out, const FieldSpec &Spec, FaultSink &Sink) {
    if (!In.is_array())
      return Sink.add(ErrorCode::BadFieldValue, "must be a list");
    Out.clear();
    for (const Json &Element : In) {
      const FaultSink::Scope Scope(Sink, std::to_string(Out.size()));
      Codec<T>::decode(Element, Out.emplace_back(), Spec, Sink);
    }
  }
  static std::string typeName(const FieldSpec &Spec) { return "list of " + Codec<T>::typeName(Spec); }
};

/// The field's rule is for the keys, its range for the values.
template <typename Key, typename T> struct Codec<std::map<Key, T>> {
  static Json encode(const std::map<Key, T> &Values) {
    Json Out = Json::object();
    for (const std::pair<const Key, T> &Entry : Values)
      Out[Entry.first.value()] = Codec<T>::encode(Entry.second);
    return Out;
  }
  static void decode(const Json &In, std::map<Key, T> &Out, const FieldSpec &Spec, FaultSink &Sink) {
    if (!In.is_object())
      return Sink.add(ErrorCode::BadFieldValue, "must be a map");
    Out.clear();
    for (auto Entry = In.begin(); Entry != In.end(); ++Entry) {
      const FaultSink::Scope Scope(Sink, Entry.key());
      std::string Name;
      decodeText(Entry.key(), Name, Spec, Sink);
      Codec<T>::decode(Entry.value(), Out[Key(Name)], Spec, Sink);
    }
  }
  static std::string typeName(const FieldSpec &Spec) {
    return "map of " + Codec<std::string>::typeName(Spec) + " to " + Codec<T>::typeName(Spec);
  }
};

/// @brief Visits a field table and encodes each field.
struct Encoder {
  Json m_Out = Json::object();
  template <typename T> void operator()(const FieldSpec &Spec, const T &Member) {
    Json Value = Codec<T>::encode(Member);
    if (!Value.is_null())
      m_Out[Spec.m_Name] = std::move(Value);
  }
};

/// @brief Visits a field table and decodes each field.
struct Decoder {
  const Json &m_In;
  FaultSink &m_Sink;
  std::vector<std::string> m_Known{};
  template <typename T> void operator()(const FieldSpec &Spec, T &Member) {
    m_Known.emplace_back(Spec.m_Name);
    const auto Found = m_In.find(Spec.m_Name);
    const FaultSink::Scope Scope(m_Sink, Spec.m_Name);
    if (Found != m_In.end())
      Codec<T>::decode(*Found, Member, Spec, m_Sink);
    else if (Spec.m_Required)
      m_Sink.add(ErrorCode::MissingField, "is missing");
  }
};

template <Described T> struct Codec<T> {
  static Json encode(const T &Value) {
    Encoder Visit;
    Describe<T>::apply(Visit, Value);
    return std::move(Visit.m_Out);
  }
  static void decode(const Json &In, T &Out, const FieldSpec &, FaultSink &Sink) {
    if (!In.is_object())
      return Sink.add(ErrorCode::BadFieldValue, "must have fields");
    Decoder Visit{In, Sink};
    Describe<T>::apply(Visit, Out);
    reportUnknown(In, Visit.m_Known, Sink);
  }
  static std::string typeName(const FieldSpec &) { return "fields"; }
};

/// @brief Names the structure behind a field or behind the elements of a list.
template <typename T> struct Nested {
  using Type = T;
  static constexpr const char *Suffix = ".";
};
template <typename T> struct Nested<std::vector<T>> {
  using Type = T;
  static constexpr const char *Suffix = "[].";
};

/// @brief Visits a field table and lists its rows.
struct Lister {
  std::vector<FieldInfo> &m_Out;
  std::string m_Prefix{};
  template <typename T> void operator()(const FieldSpec &Spec, const T &Member) {
    using Inner = typename Nested<T>::Type;
    const Json Default = Codec<T>::encode(Member);
    const bool HasDefault = !Spec.m_Required && !Described<Inner>;
    m_Out.push_back({m_Prefix + Spec.m_Name, Codec<T>::typeName(Spec),
                     rangeText(Spec, Codec<T>::typeName(Spec) == "duration"),
                     HasDefault ? defaultText(Default) : std::string(), Spec.m_Required});
    if constexpr (Described<Inner>) {
      Lister Visit{m_Out, m_Prefix + Spec.m_Name + Nested<T>::Suffix};
      const Inner Empty{};
      Describe<Inner>::apply(Visit, Empty);
    }
  }
};

/// @brief Visits a field table and writes block YAML in the table's order.
struct YamlPrinter {
  std::string &m_Out;
  std::string m_Indent{};
  bool m_Item = false; ///< The next field starts an element of a list.
  template <typename T> void operator()(const FieldSpec &Spec, const T &Member) {
    const Json Value = Codec<T>::encode(Member);
    if (Value.is_null())
      return;
    m_Out += m_Item ? m_Indent.substr(2) + "- " : m_Indent;
    m_Item = false;
    m_Out += Spec.m_Name;
    m_Out += ':';
    if constexpr (Described<T>) {
      m_Out += '\n';
      YamlPrinter Inner{m_Out, m_Indent + "  "};
      Describe<T>::apply(Inner, Member);
    } else if constexpr (Described<typename Nested<T>::Type>) {
      printList(Member);
    } else {
      m_Out += " " + dump(Value) + "\n";
    }
  }

private:
  template <typename T> void printList(const std::vector<T> &Members) {
    m_Out += Members.empty() ? " []\n" : "\n";
    for (const T &Element : Members) {
      YamlPrinter Inner{m_Out, m_Indent + "    ", true};
      Describe<T>::apply(Inner, Element);
    }
  }
};

/// @return the rows of a structure's field table, with the paths of nested fields
template <Described T> std::vector<FieldInfo> listFields() {
  std::vector<FieldInfo> Rows;
  Lister Visit{Rows};
  const T Empty{};
  Describe<T>::apply(Visit, Empty);
  return Rows;
}

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_CONFIG_DETAIL_CODEC_H
