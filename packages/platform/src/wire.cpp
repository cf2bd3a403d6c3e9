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

/// Exception of the decoding helpers; decode() catches it, so it never leaves this file.
struct DecodeError {
  std::string m_Reason;
};

const json &requireField(const json &Object, const char *Name) {
  if (!Object.is_object())
    throw DecodeError{std::string("the value that should have field ") + Name + " is not an object"};
  const json::const_iterator Found = Object.find(Name);
  if (Found == Object.end())
    throw DecodeError{std::string("field ") + Name + " is missing"};
  return *Found;
}

std::string requireString(const json &Object, const char *Name) {
  const json &Value = requireField(Object, Name);
  if (!Value.is_string())
    throw DecodeError{std::string("field ") + Name + " is not a string"};
  return Value.get<std::string>();
}

bool requireBool(const json &Object, const char *Name) {
  const json &Value = requireField(Object, Name);
  if (!Value.is_boolean())
    throw DecodeError{std::string("field ") + Name + " is not a boolean"};
  return Value.get<bool>();
}

std::uint64_t requireUnsigned(const json &Object, const char *Name) {
  const json &Value = requireField(Object, Name);
  if (!Value.is_number_unsigned())
    throw DecodeError{std::string("field ") + Name + " is not an unsigned integer"};
  return Value.get<std::uint64_t>();
}

const json &requireArray(const json &Object, const char *Name) {
  const json &Value = requireField(Object, Name);
  if (!Value.is_array())
    throw DecodeError{std::string("field ") + Name + " is not an array"};
  return Value;
}

Row toRow(const json &Object) {
  return Row{requireString(Object, "key"), requireString(Object, "value"),
             requireUnsigned(Object, "rowVersion")};
}

Endpoint requireEndpoint(const json &Object, const char *Name) {
  const std::optional<Endpoint> Parsed = parseEndpoint(requireString(Object, Name));
  if (!Parsed)
    throw DecodeError{std::string("field ") + Name + " is not an address in the form ip:port"};
  return *Parsed;
}

/// Runs a decoding function on the parsed body and maps its failures and malformed JSON to error 603.
template <typename T, typename Function> Expected<T> decode(std::string_view Body, Function Decode) {
  const json Parsed = json::parse(Body, nullptr, false);
  if (Parsed.is_discarded())
    return Error{ErrorCode::PlatformProtocol, "decode answer", "", Ran::No, "the body is not JSON"};
  try {
    return T(Decode(Parsed));
  } catch (const DecodeError &Exception) {
    return Error{ErrorCode::PlatformProtocol, "decode answer", "", Ran::No, Exception.m_Reason};
  }
}

bool isUnreserved(char Byte) {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z') || (Byte >= '0' && Byte <= '9') ||
         std::string_view("-._~").find(Byte) != std::string_view::npos;
}

} // namespace

std::string percentEncode(std::string_view Text, std::string_view Unescaped) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Encoded;
  for (const char Byte : Text) {
    if (isUnreserved(Byte) || Unescaped.find(Byte) != std::string_view::npos) {
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
    for (const json &Object : requireArray(Parsed, "writes")) {
      const std::string Name = requireString(Object, "condition");
      const auto Match = std::find(ConditionNames.begin(), ConditionNames.end(), Name);
      if (Match == ConditionNames.end())
        throw DecodeError{"unknown condition " + Name};
      Writes.push_back(RowWrite{requireString(Object, "key"), requireString(Object, "value"),
                                static_cast<WriteCondition>(Match - ConditionNames.begin()),
                                requireUnsigned(Object, "expectedVersion"), requireBool(Object, "erase")});
    }
    return Writes;
  });
}

Expected<std::optional<Row>> decodeRow(std::string_view Body) {
  return decode<std::optional<Row>>(Body, [](const json &Parsed) {
    const json &Value = requireField(Parsed, "row");
    return Value.is_null() ? std::optional<Row>() : std::optional<Row>(toRow(Value));
  });
}

Expected<std::vector<Row>> decodeRows(std::string_view Body) {
  return decode<std::vector<Row>>(Body, [](const json &Parsed) {
    std::vector<Row> Rows;
    for (const json &Object : requireArray(Parsed, "rows"))
      Rows.push_back(toRow(Object));
    return Rows;
  });
}

Expected<CommitOutcome> decodeCommit(std::string_view Body, const std::vector<RowWrite> &Writes) {
  return decode<CommitOutcome>(Body, [&Writes](const json &Parsed) {
    CommitOutcome Outcome;
    Outcome.m_Committed = requireBool(Parsed, "committed");
    const json &Rows = requireArray(Parsed, "rows");
    const json &Written = requireArray(Parsed, "written");
    if (Rows.size() != Writes.size() || Written.size() != Writes.size())
      throw DecodeError{"the response does not have one row and one flag per write"};
    for (std::size_t Index = 0; Index < Writes.size(); ++Index) {
      Outcome.m_Rows.push_back(toRow(Rows[Index]));
      if (Outcome.m_Rows.back().m_Key != Writes[Index].m_Key)
        throw DecodeError{"row " + std::to_string(Index) + " does not have the key of its write"};
      if (!Written[Index].is_boolean() || (Written[Index].get<bool>() && !Outcome.m_Committed))
        throw DecodeError{"flag " + std::to_string(Index) + " is not a boolean or contradicts the outcome"};
      Outcome.m_Written.push_back(Written[Index].get<bool>());
    }
    return Outcome;
  });
}

Expected<Done> decodePutResponse(std::string_view Body) {
  return decode<Done>(Body, [](const json &Parsed) {
    if (!requireBool(Parsed, "stored"))
      throw DecodeError{"field stored is false in a successful response"};
    return Done{};
  });
}

Expected<std::vector<ListedInstance>> decodeInstances(std::string_view Body) {
  return decode<std::vector<ListedInstance>>(Body, [](const json &Parsed) {
    std::vector<ListedInstance> Instances;
    for (const json &Object : requireArray(Parsed, "instances")) {
      ListedInstance Instance;
      Instance.m_Name = requireString(Object, "name");
      const std::string Kind = requireString(Object, "kind");
      if (Kind != "daemon" && Kind != "upstream")
        throw DecodeError{"unknown kind " + Kind};
      Instance.m_Kind = Kind == "daemon" ? ListedInstance::Kind::Daemon : ListedInstance::Kind::Upstream;
      Instance.m_Domain = DomainId(requireString(Object, "domain"));
      Instance.m_Address = requireEndpoint(Object, "address");
      if (!requireField(Object, "admin").is_null())
        Instance.m_Admin = requireEndpoint(Object, "admin");
      else if (Instance.m_Kind == ListedInstance::Kind::Daemon)
        throw DecodeError{"daemon " + Instance.m_Name + " has no operator address"};
      Instance.m_StartId = requireString(Object, "startId");
      Instance.m_Leaving = requireBool(Object, "leaving");
      Instances.push_back(std::move(Instance));
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
    const json &Value = requireField(Parsed, "quality");
    if (!Value.is_number())
      throw DecodeError{"field quality is not a number"};
    const double Quality = Value.get<double>();
    if (!(Quality >= 0.0 && Quality <= 1.0))
      throw DecodeError{"field quality is outside 0 to 1"};
    return Quality;
  });
}

Expected<std::vector<VersionId>> decodeVersions(std::string_view Body) {
  return decode<std::vector<VersionId>>(Body, [](const json &Parsed) {
    std::vector<VersionId> Versions;
    for (const json &Name : requireArray(Parsed, "versions")) {
      if (!Name.is_string())
        throw DecodeError{"a version is not a string"};
      Versions.emplace_back(Name.get<std::string>());
    }
    return Versions;
  });
}

ErrorBody decodeErrorBody(std::string_view Body) {
  const Expected<ErrorBody> Decoded = decode<ErrorBody>(Body, [](const json &Parsed) {
    const std::string RanName = requireString(Parsed, "ran");
    ErrorBody Content{requireString(Parsed, "error"), Ran::Unknown};
    if (RanName == "no" || RanName == "yes")
      Content.m_Ran = RanName == "no" ? Ran::No : Ran::Yes;
    return Content;
  });
  return Decoded ? *Decoded : ErrorBody{"no error message in the response", Ran::Unknown};
}

} // namespace bulrushpitch::detail
