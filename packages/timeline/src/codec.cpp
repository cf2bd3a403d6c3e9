#include "bulrushpitch/timeline/codec.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <stdexcept>

namespace bulrushpitch {

namespace {

using Json = nlohmann::json;

/// @brief A field that cannot be read; becomes error 102.
class BadField : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

void put(Json &To, const char *Name, const std::string &Value) {
  if (!Value.empty())
    To[Name] = Value;
}
template <typename Tag> void put(Json &To, const char *Name, const Strong<Tag, std::string> &Value) {
  put(To, Name, Value.value());
}

void take(const Json &From, const char *Name, std::string &Value) {
  const auto Found = From.find(Name);
  if (Found == From.end())
    return;
  if (!Found->is_string())
    throw BadField(std::string("field '") + Name + "' is not a text");
  Value = Found->get<std::string>();
}
template <typename Tag> void take(const Json &From, const char *Name, Strong<Tag, std::string> &Value) {
  std::string Text;
  take(From, Name, Text);
  Value = Strong<Tag, std::string>(std::move(Text));
}

template <typename Number> Number takeNumber(const Json &From, const char *Name) {
  const auto Found = From.find(Name);
  if (Found == From.end())
    return 0;
  const bool Fits =
      std::is_unsigned_v<Number>
          ? Found->is_number_unsigned() && Found->get<std::uint64_t>() <= std::numeric_limits<Number>::max()
          : Found->is_number_integer() &&
                (!Found->is_number_unsigned() ||
                 Found->get<std::uint64_t>() <= std::uint64_t{std::numeric_limits<std::int64_t>::max()});
  if (!Fits)
    throw BadField(std::string("field '") + Name + "' is not an integer in its range");
  return Found->get<Number>();
}

Json eventToJson(const TimelineEvent &Event) {
  Json To;
  put(To, "instance", Event.m_Instance);
  To["wallMs"] = Event.m_Wall.time_since_epoch().count();
  To["lamport"] = Event.m_Lamport.value();
  To["monotonicNs"] = Event.m_Monotonic.count();
  const std::string_view Kind = nameOf(Event.m_Kind);
  if (Kind == "unknown") // A kind of a newer version keeps its number.
    To["kind"] = static_cast<std::uint16_t>(Event.m_Kind);
  else
    To["kind"] = Kind;
  put(To, "request", Event.m_Request);
  put(To, "team", Event.m_Team);
  put(To, "upstream", Event.m_Upstream);
  put(To, "version", Event.m_Version);
  if (Event.m_Revision != ConfigRevision())
    To["revision"] = Event.m_Revision.value();
  put(To, "domain", Event.m_Domain);
  put(To, "message", Event.m_Message);
  put(To, "step", Event.m_Step);
  put(To, "detail", Event.m_Detail);
  return To;
}

EventKind kindFromJson(const Json &From) {
  const auto Found = From.find("kind");
  if (Found == From.end())
    throw BadField("field 'kind' is missing");
  if (!Found->is_string())
    return static_cast<EventKind>(takeNumber<std::uint16_t>(From, "kind"));
  const std::optional<EventKind> Kind = eventKindOf(Found->get_ref<const std::string &>());
  if (!Kind)
    throw BadField("field 'kind' names no kind of event");
  return *Kind;
}

TimelineEvent eventFromJson(const Json &From) {
  if (!From.is_object())
    throw BadField("an event is not an object");
  TimelineEvent To;
  take(From, "instance", To.m_Instance);
  To.m_Wall = WallTime(std::chrono::milliseconds(takeNumber<std::int64_t>(From, "wallMs")));
  To.m_Lamport = LamportTime(takeNumber<std::uint64_t>(From, "lamport"));
  To.m_Monotonic = Duration(takeNumber<std::int64_t>(From, "monotonicNs"));
  To.m_Kind = kindFromJson(From);
  take(From, "request", To.m_Request);
  take(From, "team", To.m_Team);
  take(From, "upstream", To.m_Upstream);
  take(From, "version", To.m_Version);
  To.m_Revision = ConfigRevision(takeNumber<std::uint64_t>(From, "revision"));
  take(From, "domain", To.m_Domain);
  take(From, "message", To.m_Message);
  take(From, "step", To.m_Step);
  take(From, "detail", To.m_Detail);
  return To;
}

Error decodeError(std::string Detail) {
  return {ErrorCode::MalformedBody, "read timeline", "", Ran::No, std::move(Detail)};
}

} // namespace

std::string eventsToJson(const std::vector<TimelineEvent> &Events) {
  Json List = Json::array();
  for (const TimelineEvent &Event : Events)
    List.push_back(eventToJson(Event));
  return List.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::vector<TimelineEvent>> eventsFromJson(std::string_view Text) {
  try {
    const Json List = Json::parse(Text);
    if (!List.is_array())
      return fail(decodeError("the text is not a JSON array"));
    std::vector<TimelineEvent> Events;
    for (std::size_t Index = 0; Index < List.size(); ++Index)
      Events.push_back(eventFromJson(List[Index]));
    return Events;
  } catch (const Json::exception &Failure) {
    return fail(decodeError(Failure.what()));
  } catch (const BadField &Failure) {
    return fail(decodeError(Failure.what()));
  }
}

} // namespace bulrushpitch
