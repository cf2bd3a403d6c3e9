#include "detail/codec.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <set>

namespace bulrushpitch::detail {

namespace {

bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') || (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' || Character == '_' || Character == '.';
}

// Names are parts of row keys such as claim/<team>/<request id>, so they must not contain a slash.
bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= 64 && Text.front() != '-' && Text.front() != '.' &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

bool isLowerHex(std::string_view Text) {
  return Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isIpNumber(std::string_view Text) {
  unsigned char Buffer[sizeof(in6_addr)];
  const std::string Copy(Text);
  return inet_pton(AF_INET, Copy.c_str(), Buffer) == 1 || inet_pton(AF_INET6, Copy.c_str(), Buffer) == 1;
}

bool isPath(std::string_view Text) {
  return Text.starts_with('/') && std::all_of(Text.begin(), Text.end(), [](char Character) {
           return Character > ' ' && Character < 127;
         });
}

bool isMethod(std::string_view Text) {
  return Text == "GET" || Text == "POST" || Text == "PUT" || Text == "DELETE" || Text == "PATCH";
}

// Values are copied and written recursively, so deep nesting could exhaust the stack.
constexpr int MaxJsonDepth = 64;

std::string numberText(double Value) {
  return dump(Value == std::floor(Value) ? Json(static_cast<std::int64_t>(Value)) : Json(Value));
}

} // namespace

const TextRule NameRule{
    "name", "must be 1 to 64 of the characters A-Z, a-z, 0-9, '-', '_', '.' and not start with '-' or '.'",
    isName};
const TextRule KeyHashRule{"SHA-256 in hexadecimal", "must be 64 lower-case hexadecimal digits",
                           [](std::string_view Text) { return Text.size() == 64 && isLowerHex(Text); }};
const TextRule IpRule{"IP number", "must be an IP number, not a host name", isIpNumber};
const TextRule PathRule{"path", "must start with '/' and have neither spaces nor control characters", isPath};
const TextRule MethodRule{"GET, POST, PUT, DELETE or PATCH", "must be GET, POST, PUT, DELETE or PATCH",
                          isMethod};
const TextRule SecretRule{
    "hexadecimal text", "must be an even number of lower-case hexadecimal digits, at least 32",
    [](std::string_view Text) { return Text.size() >= 32 && Text.size() % 2 == 0 && isLowerHex(Text); }};

std::string rangeText(const FieldSpec &Spec, bool IsDuration) {
  const auto Text = [IsDuration](double Limit) {
    return IsDuration ? durationText(std::chrono::milliseconds(static_cast<std::int64_t>(Limit)))
                      : numberText(Limit);
  };
  if (Spec.m_Min == -Unlimited)
    return "";
  if (Spec.m_Max == Unlimited)
    return "at least " + Text(Spec.m_Min);
  return Text(Spec.m_Min) + " to " + Text(Spec.m_Max);
}

void FaultSink::add(ErrorCode Code, std::string Message, std::string Hint) {
  Fault Found;
  Found.m_Code = Code;
  Found.m_Field = m_Path;
  Found.m_Message = std::move(Message);
  Found.m_Hint = std::move(Hint);
  m_Faults.push_back(std::move(Found));
}

FaultSink::Scope::Scope(FaultSink &Sink, const std::string &Segment)
    : m_Sink(Sink), m_Length(Sink.m_Path.size()) {
  if (!Sink.m_Path.empty())
    Sink.m_Path += '.';
  Sink.m_Path += Segment;
}

bool checkRange(double Value, const FieldSpec &Spec, FaultSink &Sink) {
  if (Value >= Spec.m_Min && Value <= Spec.m_Max)
    return true;
  Sink.add(ErrorCode::BadFieldValue, "must be " + rangeText(Spec));
  return false;
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view Text) {
  std::int64_t Count = 0;
  const char *const End = Text.data() + Text.size();
  const std::from_chars_result Read = std::from_chars(Text.data(), End, Count);
  // Ten digits of hours stay far below the range of milliseconds in 64 bits.
  if (Read.ec != std::errc() || Text.starts_with('-') || Read.ptr - Text.data() > 10)
    return std::nullopt;
  std::string_view Unit(Read.ptr, static_cast<std::size_t>(End - Read.ptr));
  Unit.remove_prefix(std::min(Unit.find_first_not_of(' '), Unit.size()));
  if (Unit == "ms" || (Unit.empty() && Count == 0))
    return std::chrono::milliseconds(Count);
  if (Unit == "s")
    return std::chrono::seconds(Count);
  if (Unit == "min")
    return std::chrono::minutes(Count);
  if (Unit == "h")
    return std::chrono::hours(Count);
  return std::nullopt;
}

std::string durationText(std::chrono::milliseconds Value) {
  if (Value.count() % 1000 == 0)
    return std::to_string(Value.count() / 1000) + " s";
  return std::to_string(Value.count()) + " ms";
}

std::optional<Json> parseJson(std::string_view Text, FaultSink &Sink) {
  std::vector<std::set<std::string>> Open;
  std::string Twice;
  bool TooDeep = false;
  const Json::parser_callback_t Watch = [&](int Depth, Json::parse_event_t Event, Json &Parsed) {
    TooDeep |= Depth > MaxJsonDepth;
    if (TooDeep)
      return false;
    if (Event == Json::parse_event_t::object_start)
      Open.emplace_back();
    else if (Event == Json::parse_event_t::object_end)
      Open.pop_back();
    else if (Event == Json::parse_event_t::key && !Open.back().insert(Parsed.get<std::string>()).second)
      Twice = Parsed.get<std::string>();
    return true;
  };
  Json Read = Json::parse(Text, Watch, false);
  if (TooDeep)
    Sink.add(ErrorCode::DocumentSyntax, "is nested too deeply");
  else if (Read.is_discarded())
    Sink.add(ErrorCode::DocumentSyntax, "is not valid JSON");
  else if (!Twice.empty())
    Sink.add(ErrorCode::DocumentSyntax, "has the key '" + Twice + "' twice in one object");
  else
    return Read;
  return std::nullopt;
}

std::string dump(const Json &Value) { return Value.dump(-1, ' ', false, Json::error_handler_t::replace); }

std::string defaultText(const Json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  return Value.empty() ? std::string() : dump(Value);
}

void decodeText(const Json &In, std::string &Out, const FieldSpec &Spec, FaultSink &Sink) {
  if (!In.is_string())
    return Sink.add(ErrorCode::BadFieldValue, In.is_primitive() && !In.is_null()
                                                  ? "must be text; put the value in quotes"
                                                  : "must be text");
  Out = In.get<std::string>();
  if (Spec.m_Rule && !Spec.m_Rule->m_Valid(Out))
    Sink.add(ErrorCode::BadFieldValue, Spec.m_Rule->m_Message);
}

void decodeDuration(const Json &In, std::chrono::milliseconds &Out, const FieldSpec &Spec, FaultSink &Sink) {
  const std::string Text = In.is_string() ? In.get<std::string>() : In.is_number() ? dump(In) : "";
  const std::optional<std::chrono::milliseconds> Read = parseDuration(Text);
  if (!Read)
    return Sink.add(ErrorCode::BadFieldValue,
                    "must be a whole number with a unit: ms, s, min or h, for example \"30 s\"");
  if (static_cast<double>(Read->count()) >= Spec.m_Min && static_cast<double>(Read->count()) <= Spec.m_Max)
    Out = *Read;
  else
    Sink.add(ErrorCode::BadFieldValue, "must be " + rangeText(Spec, true));
}

void decodeAddress(const Json &In, SocketAddress &Out, FaultSink &Sink) {
  const std::string Text = In.is_string() ? In.get<std::string>() : std::string();
  const std::size_t Colon = Text.rfind(':');
  std::string Address = Text.substr(0, Colon == std::string::npos ? Text.size() : Colon);
  const bool Bracketed = Address.size() > 2 && Address.front() == '[' && Address.back() == ']';
  if (Bracketed)
    Address = Address.substr(1, Address.size() - 2);
  std::uint16_t Port = 0;
  if (Colon != std::string::npos) {
    const std::from_chars_result Read =
        std::from_chars(Text.data() + Colon + 1, Text.data() + Text.size(), Port);
    if (Read.ec != std::errc() || Read.ptr != Text.data() + Text.size())
      Port = 0;
  }
  const bool IsV6 = Address.find(':') != std::string::npos;
  if (Port == 0 || !isIpNumber(Address) || IsV6 != Bracketed)
    return Sink.add(ErrorCode::BadFieldValue,
                    "must be an IP number and a port from 1 to 65535, for example \"127.0.0.1:7000\"");
  Out = {std::move(Address), Port};
}

void reportUnknown(const Json &In, const std::vector<std::string> &Known, FaultSink &Sink) {
  for (auto Entry = In.begin(); Entry != In.end(); ++Entry) {
    if (std::find(Known.begin(), Known.end(), Entry.key()) != Known.end())
      continue;
    const FaultSink::Scope Scope(Sink, Entry.key());
    Sink.add(ErrorCode::UnknownField, "is not a known field", nearestName(Entry.key(), Known));
  }
}

} // namespace bulrushpitch::detail
