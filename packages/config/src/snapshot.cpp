#include "bulrushpitch/config/snapshot.h"

#include "bulrushpitch/config/documents.h"
#include "detail/describe_objects.h"

#include <set>

namespace bulrushpitch {

namespace detail {

namespace {

constexpr std::uint64_t SnapshotFormat = 1;

/// @brief The envelope of a snapshot.
struct SnapshotHead {
  std::uint64_t m_Format = SnapshotFormat;
  ConfigRevision m_Revision;
  Limits m_Limits;
  std::vector<RestrictionId> m_Lifted;
};

/// @brief The envelope of a delta.
struct DeltaHead {
  std::uint64_t m_Format = SnapshotFormat;
  ConfigRevision m_Base;
  ConfigRevision m_Revision;
  std::optional<Limits> m_Limits;
  std::optional<std::vector<RestrictionId>> m_Lifted;
  std::map<Strong<struct KindTag, std::string>, std::vector<std::string>> m_Removed;
};

} // namespace

template <> struct Describe<SnapshotHead> {
  template <typename V, typename T> static void apply(V &Visit, T &Head) {
    Visit(requiredField("format"), Head.m_Format);
    Visit(requiredField("revision"), Head.m_Revision);
    Visit(requiredField("limits"), Head.m_Limits);
    Visit(requiredField("lifted"), Head.m_Lifted);
  }
};

template <> struct Describe<DeltaHead> {
  template <typename V, typename T> static void apply(V &Visit, T &Head) {
    Visit(requiredField("format"), Head.m_Format);
    Visit(requiredField("base"), Head.m_Base);
    Visit(requiredField("revision"), Head.m_Revision);
    Visit(optionalField("limits"), Head.m_Limits);
    Visit(optionalField("lifted"), Head.m_Lifted);
    Visit(requiredField("removed"), Head.m_Removed);
  }
};

namespace {

/// Reads the objects of one kind from a list and puts them into a map.
template <typename Key, typename T>
void decodeObjects(const Json &In, std::map<Key, T> &Out, bool MayReplace, FaultSink &Sink) {
  if (!In.is_array())
    return Sink.add(ErrorCode::BadFieldValue, "must be a list");
  std::set<Key> Seen;
  std::size_t Index = 0;
  for (const Json &Element : In) {
    const FaultSink::Scope Scope(Sink, std::to_string(Index++));
    T Object;
    Codec<T>::decode(Element, Object, requiredField(""), Sink);
    const Key Id = Object.m_Id;
    if (!Seen.insert(Id).second || (!MayReplace && Out.contains(Id)))
      Sink.add(ErrorCode::DuplicateObject, "the name '" + Id.value() + "' occurs twice");
    Out.insert_or_assign(Id, std::move(Object));
  }
}

/// Reads the lists of all kinds. Every kind must be there if @p Whole.
void decodeKinds(const Json &In, Configuration &Out, bool Whole, FaultSink &Sink) {
  if (!In.is_object())
    return Sink.add(ErrorCode::BadFieldValue, "must have fields");
  std::vector<std::string> Known;
  forEachKind([&](const char *Kind, auto Member) {
    Known.emplace_back(Kind);
    const FaultSink::Scope Scope(Sink, Kind);
    const auto Found = In.find(Kind);
    if (Found != In.end())
      decodeObjects(*Found, Out.*Member, !Whole, Sink);
    else if (Whole)
      Sink.add(ErrorCode::MissingField, "is missing");
  });
  reportUnknown(In, Known, Sink);
}

/// Checks the format number before anything else, so that a newer format is named as the reason.
bool checkFormat(const Json &In, FaultSink &Sink) {
  const bool Known = In.is_object() && In.contains("format") && In["format"] == SnapshotFormat;
  if (!Known)
    Sink.add(ErrorCode::DocumentSyntax, "is not of format " + std::to_string(SnapshotFormat));
  return Known;
}

/// Decodes the envelope and hands back the objects, which have a table of their own.
template <typename Head> Json decodeHead(Json In, const char *ObjectsField, Head &Out, FaultSink &Sink) {
  Json Objects;
  const auto Found = In.find(ObjectsField);
  if (Found == In.end()) {
    const FaultSink::Scope Scope(Sink, ObjectsField);
    Sink.add(ErrorCode::MissingField, "is missing");
    Objects = Json::object();
  } else {
    Objects = std::move(*Found);
    In.erase(Found);
  }
  Codec<Head>::decode(In, Out, requiredField(""), Sink);
  return Objects;
}

/// Compares two objects of a kind field by field.
std::vector<FieldChange> compareFields(const Json &Before, const Json &After) {
  std::vector<FieldChange> Changes;
  for (auto Entry = Before.begin(); Entry != Before.end(); ++Entry) {
    const auto Other = After.find(Entry.key());
    if (Other == After.end())
      Changes.push_back({Entry.key(), dump(*Entry), ""});
    else if (*Other != *Entry)
      Changes.push_back({Entry.key(), dump(*Entry), dump(*Other)});
  }
  for (auto Entry = After.begin(); Entry != After.end(); ++Entry)
    if (!Before.contains(Entry.key()))
      Changes.push_back({Entry.key(), "", dump(*Entry)});
  return Changes;
}

template <typename Key, typename T>
void diffKind(const char *Kind, const std::map<Key, T> &Before, const std::map<Key, T> &After,
              std::vector<ObjectChange> &Out) {
  for (const std::pair<const Key, T> &Entry : Before) {
    const auto Other = After.find(Entry.first);
    if (Other == After.end())
      Out.push_back({Kind, Entry.first.value(), ChangeKind::Removed, {}});
    else if (!(Other->second == Entry.second))
      Out.push_back({Kind, Entry.first.value(), ChangeKind::Changed,
                     compareFields(Codec<T>::encode(Entry.second), Codec<T>::encode(Other->second))});
  }
  for (const std::pair<const Key, T> &Entry : After)
    if (!Before.contains(Entry.first))
      Out.push_back({Kind, Entry.first.value(), ChangeKind::Added, {}});
}

void removeObjects(const DeltaHead &Head, Configuration &Target, FaultSink &Sink) {
  std::size_t Removed = 0;
  std::size_t Listed = 0;
  for (const auto &Entry : Head.m_Removed)
    Listed += Entry.second.size();
  forEachKind([&](const char *Kind, auto Member) {
    using Key = typename MapOf<decltype(Member)>::KeyType;
    const auto Found = Head.m_Removed.find(Strong<KindTag, std::string>(Kind));
    if (Found != Head.m_Removed.end())
      for (const std::string &Name : Found->second)
        Removed += (Target.*Member).erase(Key(Name));
  });
  if (Removed != Listed)
    Sink.add(ErrorCode::UnknownReference, "removes an object that the base does not have");
}

/// Copies the base's objects unless the delta starts elsewhere.
bool startFrom(const Configuration &Base, const DeltaHead &Head, Configuration &Target, FaultSink &Sink) {
  if (Head.m_Base != Base.m_Revision) {
    Sink.add(ErrorCode::RevisionConflict, "the delta starts at revision " +
                                              std::to_string(Head.m_Base.value()) + ", not at " +
                                              std::to_string(Base.m_Revision.value()));
    return false;
  }
  Target = Base;
  Target.m_Revision = Head.m_Revision;
  if (Head.m_Limits)
    Target.m_Limits = *Head.m_Limits;
  if (Head.m_Lifted)
    Target.m_Lifted = *Head.m_Lifted;
  return true;
}

Result<Configuration> finish(Configuration Decoded, const FaultSink &Sink, const char *Step) {
  std::vector<Fault> Faults = Sink.faults();
  if (Faults.empty())
    Faults = checkConfiguration(Decoded, nullptr);
  if (!Faults.empty())
    return fail(toError(Faults, Step));
  return Decoded;
}

} // namespace

Json snapshotToJson(const Configuration &Value) {
  Json Out = Codec<SnapshotHead>::encode({SnapshotFormat, Value.m_Revision, Value.m_Limits, Value.m_Lifted});
  Json &Objects = Out["objects"] = Json::object();
  forEachKind([&](const char *Kind, auto Member) {
    using Object = typename MapOf<decltype(Member)>::Object;
    Json &List = Objects[Kind] = Json::array();
    for (const auto &Entry : Value.*Member)
      List.push_back(Codec<Object>::encode(Entry.second));
  });
  return Out;
}

void snapshotFromJson(const Json &In, Configuration &Out, FaultSink &Sink) {
  if (!checkFormat(In, Sink))
    return;
  SnapshotHead Head;
  const Json Objects = decodeHead(In, "objects", Head, Sink);
  Out = Configuration();
  Out.m_Revision = Head.m_Revision;
  Out.m_Limits = Head.m_Limits;
  Out.m_Lifted = Head.m_Lifted;
  const FaultSink::Scope Scope(Sink, "objects");
  decodeKinds(Objects, Out, true, Sink);
}

} // namespace detail

const char *nameOf(ChangeKind Value) {
  switch (Value) {
  case ChangeKind::Added:
    return "added";
  case ChangeKind::Removed:
    return "removed";
  case ChangeKind::Changed:
    break;
  }
  return "changed";
}

std::string encodeSnapshot(const Configuration &Value) { return detail::dump(detail::snapshotToJson(Value)); }

Result<Configuration> decodeSnapshot(std::string_view Text) {
  detail::FaultSink Sink;
  Configuration Out;
  if (const std::optional<detail::Json> Read = detail::parseJson(Text, Sink))
    detail::snapshotFromJson(*Read, Out, Sink);
  return detail::finish(std::move(Out), Sink, "decode snapshot");
}

std::vector<ObjectChange> diffConfigurations(const Configuration &Before, const Configuration &After) {
  std::vector<ObjectChange> Changes;
  detail::forEachKind(
      [&](const char *Kind, auto Member) { detail::diffKind(Kind, Before.*Member, After.*Member, Changes); });
  if (!(Before.m_Limits == After.m_Limits))
    Changes.push_back({detail::LimitsKind, detail::LimitsName, ChangeKind::Changed,
                       detail::compareFields(detail::Codec<Limits>::encode(Before.m_Limits),
                                             detail::Codec<Limits>::encode(After.m_Limits))});
  return Changes;
}

std::string encodeDelta(const Configuration &Base, const Configuration &Target) {
  detail::DeltaHead Head;
  Head.m_Base = Base.m_Revision;
  Head.m_Revision = Target.m_Revision;
  if (!(Base.m_Limits == Target.m_Limits))
    Head.m_Limits = Target.m_Limits;
  if (Base.m_Lifted != Target.m_Lifted)
    Head.m_Lifted = Target.m_Lifted;
  detail::Json Set = detail::Json::object();
  detail::forEachKind([&](const char *Kind, auto Member) {
    using Object = typename detail::MapOf<decltype(Member)>::Object;
    for (const auto &Entry : Base.*Member)
      if (!(Target.*Member).contains(Entry.first))
        Head.m_Removed[Strong<detail::KindTag, std::string>(Kind)].push_back(Entry.first.value());
    for (const auto &Entry : Target.*Member) {
      const auto Old = (Base.*Member).find(Entry.first);
      if (Old == (Base.*Member).end() || !(Old->second == Entry.second))
        Set[Kind].push_back(detail::Codec<Object>::encode(Entry.second));
    }
  });
  detail::Json Out = detail::Codec<detail::DeltaHead>::encode(Head);
  Out["set"] = std::move(Set);
  return detail::dump(Out);
}

Result<Configuration> applyDelta(const Configuration &Base, std::string_view Delta) {
  detail::FaultSink Sink;
  Configuration Target;
  const std::optional<detail::Json> Read = detail::parseJson(Delta, Sink);
  if (Read && detail::checkFormat(*Read, Sink)) {
    detail::DeltaHead Head;
    const detail::Json Set = detail::decodeHead(*Read, "set", Head, Sink);
    if (Sink.faults().empty() && detail::startFrom(Base, Head, Target, Sink)) {
      detail::removeObjects(Head, Target, Sink);
      const detail::FaultSink::Scope Scope(Sink, "set");
      detail::decodeKinds(Set, Target, false, Sink);
    }
  }
  return detail::finish(std::move(Target), Sink, "apply delta");
}

} // namespace bulrushpitch
