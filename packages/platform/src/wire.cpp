#include "bulrushpitch/platform/detail/wire.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace bulrushpitch::detail {

using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 4> ConditionNames{"any", "absent", "version", "skip-if-set"};

/// Carries the reason out of the nested decoding functions; never leaves this file.
struct Malformed {
  std::string m_Reason;
};

const json &field(const json &Object, const char *Name) {
  if (!Object.is_object())
    throw Malformed{std::string("an object with field ") + Name + " was expected"};
  const json::const_iterator Found = Object.find(Name);
  if (Found == Object.end())
    throw Malformed{std::string("field ") + Name + " is missing"};
  return *Found;
}

std::string text(const json &Object, const char *Name) {
  const json &Value = field(Object, Name);
  if (!Value.is_string())
    throw Malformed{std::string("field ") + Name + " is not text"};
  return Value.get<std::string>();
}

bool flag(const json &Object, const char *Name) {
  const json &Value = field(Object, Name);
  if (!Value.is_boolean())
    throw Malformed{std::string("field ") + Name + " is not a truth value"};
  return Value.get<bool>();
}

std::uint64_t number(const json &Object, const char *Name) {
  const json &Value = field(Object, Name);
  if (!Value.is_number_unsigned())
    throw Malformed{std::string("field ") + Name + " is not a whole number of 0 or more"};
  return Value.get<std::uint64_t>();
}

const json &list(const json &Object, const char *Name) {
  const json &Value = field(Object, Name);
  if (!Value.is_array())
    throw Malformed{std::string("field ") + Name + " is not a list"};
  return Value;
}

Row toRow(const json &Object) {
  return Row{text(Object, "key"), text(Object, "value"), number(Object, "rowVersion")};
}

Endpoint toEndpoint(const json &Object, const char *Name) {
  const std::optional<Endpoint> Parsed = parseEndpoint(text(Object, Name));
  if (!Parsed)
    throw Malformed{std::string("field ") + Name + " is not an IP number with a port"};
  return *Parsed;
}

/// Runs a decoding function on the parsed body and turns every way of failing into error 603.
template <typename T, typename Function> Expected<T> decode(std::string_view Body, Function Decode) {
  const json Parsed = json::parse(Body, nullptr, false);
  if (Parsed.is_discarded())
    return Error{ErrorCode::PlatformProtocol, "decode answer", "", Ran::No, "the body is not JSON"};
  try {
    return T(Decode(Parsed));
  } catch (const Malformed &Caught) {
    return Error{ErrorCode::PlatformProtocol, "decode answer", "", Ran::No, Caught.m_Reason};
  }
}

bool isUnreserved(char Byte) {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') || (Byte >= '0' && Byte <= '9') ||
         std::string_view("-._~").find(Byte) != std::string_view::npos;
}

} // namespace

std::string percentEncode(std::string_view Text, std::string_view Keep) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (const char Byte : Text) {
    if (isUnreserved(Byte) || Keep.find(Byte) != std::string_view::npos) {
      Encoded += Byte;
      continue;
    }
    const unsigned Value = static_cast<unsigned char>(Byte);
    Encoded += '%';
    Encoded += Digits[Value / 16];
    Encoded += Digits[Value % 16];
  }
  return Encoded;
}

std::optional<std::string> percentDecode(std::string_view Text) {
  std::string Decoded;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] != '%') {
      Decoded += Text[Index];
      continue;
    }
    const std::string_view Escape = Text.substr(Index + 1, 2);
    unsigned Value = 0;
    const std::from_chars_result Parsed =
        std::from_chars(Escape.data(), Escape.data() + Escape.size(), Value, 16);
    if (Escape.size() != 2 || Parsed.ptr != Escape.data() + 2)
      return std::nullopt;
    Decoded += static_cast<char>(Value);
    Index += 2;
  }
  return Decoded;
}

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const std::string_view Digits = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const std::from_chars_result Parsed = std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  boost::system::error_code Code;
  const std::string Address(Text.substr(0, Colon));
  boost::asio::ip::make_address(Address, Code);
  if (Code || Parsed.ec != std::errc() || Parsed.ptr != Digits.data() + Digits.size() || Port == 0)
    return std::nullopt;
  return Endpoint{Address, Port};
}

Expected<std::string> encodeTransaction(const std::vector<RowWrite> &Writes) {
  json Encoded = json::array();
  for (const RowWrite &Write : Writes)
    Encoded.push_back({{"key", Write.m_Key},
                       {"value", Write.m_Value},
                       {"condition", ConditionNames.at(static_cast<std::size_t>(Write.m_Condition))},
                       {"expectedVersion", Write.m_ExpectedVersion},
                       {"erase", Write.m_Erase}});
  try {
    return json{{"writes", Encoded}}.dump();
  } catch (const json::type_error &) {
    return Error{ErrorCode::PlatformProtocol, "encode transaction", "", Ran::No,
                 "a key or value is not UTF-8"};
  }
}

Expected<std::vector<RowWrite>> decodeTransaction(std::string_view Body) {
  return decode<std::vector<RowWrite>>(Body, [](const json &Parsed) {
    std::vector<RowWrite> Writes;
    for (const json &Object : list(Parsed, "writes")) {
      const std::string Name = text(Object, "condition");
      const auto Known = std::find(ConditionNames.begin(), ConditionNames.end(), Name);
      if (Known == ConditionNames.end())
        throw Malformed{"unknown condition " + Name};
      Writes.push_back(RowWrite{text(Object, "key"), text(Object, "value"),
                                static_cast<WriteCondition>(Known - ConditionNames.begin()),
                                number(Object, "expectedVersion"), flag(Object, "erase")});
    }
    return Writes;
  });
}

Expected<std::optional<Row>> decodeRow(std::string_view Body) {
  return decode<std::optional<Row>>(Body, [](const json &Parsed) {
    const json &Value = field(Parsed, "row");
    return Value.is_null() ? std::optional<Row>() : std::optional<Row>(toRow(Value));
  });
}

Expected<std::vector<Row>> decodeRows(std::string_view Body) {
  return decode<std::vector<Row>>(Body, [](const json &Parsed) {
    std::vector<Row> Rows;
    for (const json &Object : list(Parsed, "rows"))
      Rows.push_back(toRow(Object));
    return Rows;
  });
}

Expected<CommitOutcome> decodeCommit(std::string_view Body, const std::vector<RowWrite> &Writes) {
  return decode<CommitOutcome>(Body, [&Writes](const json &Parsed) {
    CommitOutcome Outcome;
    Outcome.m_Committed = flag(Parsed, "committed");
    const json &Rows = list(Parsed, "rows");
    const json &Written = list(Parsed, "written");
    if (Rows.size() != Writes.size() || Written.size() != Writes.size())
      throw Malformed{"the answer does not have one row and one flag for each write"};
    for (std::size_t Index = 0; Index < Writes.size(); ++Index) {
      Outcome.m_Rows.push_back(toRow(Rows[Index]));
      if (Outcome.m_Rows.back().m_Key != Writes[Index].m_Key)
        throw Malformed{"row " + std::to_string(Index) + " is not the one written"};
      if (!Written[Index].is_boolean() || (Written[Index].get<bool>() && !Outcome.m_Committed))
        throw Malformed{"flag " + std::to_string(Index) + " contradicts the outcome"};
      Outcome.m_Written.push_back(Written[Index].get<bool>());
    }
    return Outcome;
  });
}

Expected<Done> decodeStored(std::string_view Body) {
  return decode<Done>(Body, [](const json &Parsed) {
    if (!flag(Parsed, "stored"))
      throw Malformed{"the object store reports success without storing"};
    return Done{};
  });
}

Expected<std::vector<ListedInstance>> decodeInstances(std::string_view Body) {
  return decode<std::vector<ListedInstance>>(Body, [](const json &Parsed) {
    std::vector<ListedInstance> Instances;
    for (const json &Object : list(Parsed, "instances")) {
      ListedInstance Listed;
      Listed.m_Name = text(Object, "name");
      const std::string Kind = text(Object, "kind");
      if (Kind != "daemon" && Kind != "upstream")
        throw Malformed{"unknown kind " + Kind};
      Listed.m_Kind = Kind == "daemon" ? ListedInstance::Kind::Daemon : ListedInstance::Kind::Upstream;
      Listed.m_Domain = DomainId(text(Object, "domain"));
      Listed.m_Address = toEndpoint(Object, "address");
      if (!field(Object, "admin").is_null())
        Listed.m_Admin = toEndpoint(Object, "admin");
      else if (Listed.m_Kind == ListedInstance::Kind::Daemon)
        throw Malformed{"daemon " + Listed.m_Name + " has no operator address"};
      Listed.m_StartId = text(Object, "startId");
      Listed.m_Leaving = flag(Object, "leaving");
      Instances.push_back(std::move(Listed));
    }
    return Instances;
  });
}

std::string encodeRating(const RatingRequest &Request) {
  return json{{"task", Request.m_Task.value()},
              {"version", Request.m_Version.value()},
              {"prompt", Request.m_Prompt},
              {"answer", Request.m_Answer}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Expected<double> decodeRating(std::string_view Body) {
  return decode<double>(Body, [](const json &Parsed) {
    const json &Value = field(Parsed, "quality");
    if (!Value.is_number())
      throw Malformed{"field quality is not a number"};
    const double Quality = Value.get<double>();
    if (!(Quality >= 0.0 && Quality <= 1.0))
      throw Malformed{"field quality is outside 0 to 1"};
    return Quality;
  });
}

Expected<std::vector<VersionId>> decodeVersions(std::string_view Body) {
  return decode<std::vector<VersionId>>(Body, [](const json &Parsed) {
    std::vector<VersionId> Versions;
    for (const json &Name : list(Parsed, "versions")) {
      if (!Name.is_string())
        throw Malformed{"a version is not text"};
      Versions.emplace_back(Name.get<std::string>());
    }
    return Versions;
  });
}

Refusal decodeRefusal(std::string_view Body) {
  const Expected<Refusal> Decoded = decode<Refusal>(Body, [](const json &Parsed) {
    const std::string Known = text(Parsed, "ran");
    Refusal Stated{text(Parsed, "error"), Ran::Unknown};
    if (Known == "no" || Known == "yes")
      Stated.m_Ran = Known == "no" ? Ran::No : Ran::Yes;
    return Stated;
  });
  return Decoded ? *Decoded : Refusal{"no reason given", Ran::Unknown};
}

} // namespace bulrushpitch::detail
