#include "conversion.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <limits>
#include <string>

namespace bulrushpitch::detail {

namespace {

/// A reader expects a zero byte behind a text; c_str() has one.
capnp::Text::Reader text(const std::string &Value) { return {Value.c_str(), Value.size()}; }

template <typename Tag> capnp::Text::Reader text(const Strong<Tag, std::string> &Value) {
  return {Value.value().c_str(), Value.value().size()};
}

std::string string(capnp::Text::Reader Value) { return {Value.cStr(), Value.size()}; }

template <typename Wire, typename Enumeration>
Enumeration enumeration(Wire Value, Wire Last, const char *Field) {
  if (Value > Last)
    throw BadMessage(std::string(Field) + " " + std::to_string(static_cast<unsigned>(Value)) +
                     " is not known");
  return static_cast<Enumeration>(Value);
}

/// @return a number whose field in the message has 32 bits
std::uint32_t number32(std::uint64_t Value, const char *Field) {
  if (Value > std::numeric_limits<std::uint32_t>::max())
    throw BadMessage(std::string(Field) + " " + std::to_string(Value) + " does not fit its field");
  return static_cast<std::uint32_t>(Value);
}

capnp::Data::Reader data(const std::string &Value) {
  return {reinterpret_cast<const kj::byte *>(Value.data()), Value.size()};
}

/// Both Address and Member have the fields of an address.
template <typename Builder> void addressToWire(const Endpoint &From, Builder To) {
  boost::system::error_code Code;
  const boost::asio::ip::address Address = boost::asio::ip::make_address(From.m_Address, Code);
  if (Code)
    throw BadMessage("'" + From.m_Address + "' is not an IP number");
  To.setPort(From.m_Port);
  if (Address.is_v4()) {
    To.setIp4(Address.to_v4().to_uint());
    return;
  }
  const boost::asio::ip::address_v6::bytes_type Bytes = Address.to_v6().to_bytes();
  To.setIp6(capnp::Data::Reader(Bytes.data(), Bytes.size()));
}

template <typename Reader> Endpoint addressFromWire(const Reader &From) {
  const capnp::Data::Reader Ip6 = From.getIp6();
  if (Ip6.size() == 0)
    return {boost::asio::ip::address_v4(From.getIp4()).to_string(), From.getPort()};
  boost::asio::ip::address_v6::bytes_type Bytes{};
  if (Ip6.size() != Bytes.size())
    throw BadMessage("an IPv6 address has " + std::to_string(Ip6.size()) + " bytes");
  std::copy(Ip6.begin(), Ip6.end(), Bytes.begin());
  return {boost::asio::ip::address_v6(Bytes).to_string(), From.getPort()};
}

void restrictionToWire(const Restriction &From, schema::Restriction::Builder To) {
  To.setId(text(From.m_Id));
  To.setKind(static_cast<schema::Restriction::Kind>(From.m_Kind));
  To.setTarget(text(From.m_Target));
  To.setOperator(text(From.m_Operator));
  To.setRevision(From.m_Revision.value());
}

Restriction restrictionFromWire(schema::Restriction::Reader From) {
  Restriction To;
  To.m_Id = RestrictionId(string(From.getId()));
  To.m_Kind = enumeration<schema::Restriction::Kind, RestrictionKind>(
      From.getKind(), schema::Restriction::Kind::STOP_ROLLOUT, "restriction kind");
  To.m_Target = string(From.getTarget());
  To.m_Operator = string(From.getOperator());
  To.m_Revision = ConfigRevision(From.getRevision());
  return To;
}

void memberToWire(const PeerMember &From, std::uint8_t Domain, schema::Member::Builder To) {
  To.setInstance(text(From.m_Instance));
  To.setIncarnation(From.m_Incarnation);
  To.setBeat(number32(From.m_Beat, "beat"));
  To.setState(static_cast<std::uint8_t>(From.m_State));
  addressToWire(From.m_Address, To);
  To.setDomain(Domain);
  To.setConfirmed(From.m_Confirmed.value());
}

void membersToWire(const std::vector<PeerMember> &From, schema::Digest::Builder To) {
  if (From.empty())
    return;
  std::vector<DomainId> Domains;
  capnp::List<schema::Member>::Builder List = To.initMembers(static_cast<unsigned>(From.size()));
  for (unsigned Index = 0; Index < List.size(); ++Index) {
    auto Found = std::find(Domains.begin(), Domains.end(), From[Index].m_Domain);
    if (Found == Domains.end())
      Found = Domains.insert(Found, From[Index].m_Domain);
    memberToWire(From[Index], static_cast<std::uint8_t>(Found - Domains.begin()), List[Index]);
  }
  capnp::List<capnp::Text>::Builder Names = To.initDomains(static_cast<unsigned>(Domains.size()));
  for (unsigned Index = 0; Index < Names.size(); ++Index)
    Names.set(Index, text(Domains[Index]));
}

PeerMember memberFromWire(schema::Member::Reader From, capnp::List<capnp::Text>::Reader Domains) {
  if (From.getDomain() >= Domains.size())
    throw BadMessage("a member's domain " + std::to_string(From.getDomain()) + " is not listed");
  PeerMember To;
  To.m_Instance = InstanceId(string(From.getInstance()));
  To.m_Incarnation = From.getIncarnation();
  To.m_Beat = From.getBeat();
  To.m_State = enumeration<std::uint8_t, PeerMemberState>(
      From.getState(), static_cast<std::uint8_t>(PeerMemberState::Left), "member state");
  To.m_Address = addressFromWire(From);
  To.m_Domain = DomainId(string(Domains[From.getDomain()]));
  To.m_Confirmed = ConfigRevision(From.getConfirmed());
  return To;
}

void eventToWire(const TimelineEvent &From, schema::Event::Builder To) {
  To.setInstance(text(From.m_Instance));
  To.setWallMs(From.m_Wall.time_since_epoch().count());
  To.setLamport(From.m_Lamport.value());
  To.setMonotonicNs(From.m_Monotonic.count());
  To.setKind(static_cast<std::uint16_t>(From.m_Kind));
  To.setRevision(From.m_Revision.value());
  // An empty text that is not set takes no space behind its pointer.
  if (!From.m_Request.value().empty())
    To.setRequest(text(From.m_Request));
  if (!From.m_Team.value().empty())
    To.setTeam(text(From.m_Team));
  if (!From.m_Upstream.value().empty())
    To.setUpstream(text(From.m_Upstream));
  if (!From.m_Version.value().empty())
    To.setVersion(text(From.m_Version));
  if (!From.m_Domain.value().empty())
    To.setDomain(text(From.m_Domain));
  if (!From.m_Message.empty())
    To.setMessage(text(From.m_Message));
  if (!From.m_Step.empty())
    To.setStep(text(From.m_Step));
  if (!From.m_Detail.empty())
    To.setDetail(text(From.m_Detail));
}

TimelineEvent eventFromWire(schema::Event::Reader From) {
  TimelineEvent To;
  To.m_Instance = InstanceId(string(From.getInstance()));
  To.m_Wall = WallTime(std::chrono::milliseconds(From.getWallMs()));
  To.m_Lamport = LamportTime(From.getLamport());
  To.m_Monotonic = Duration(From.getMonotonicNs());
  // A newer daemon may send a kind that this one does not know; it is shown as "unknown".
  To.m_Kind = static_cast<EventKind>(From.getKind());
  To.m_Request = RequestId(string(From.getRequest()));
  To.m_Team = TeamId(string(From.getTeam()));
  To.m_Upstream = UpstreamId(string(From.getUpstream()));
  To.m_Version = VersionId(string(From.getVersion()));
  To.m_Revision = ConfigRevision(From.getRevision());
  To.m_Domain = DomainId(string(From.getDomain()));
  To.m_Message = string(From.getMessage());
  To.m_Step = string(From.getStep());
  To.m_Detail = string(From.getDetail());
  return To;
}

/// @return the length of a list as Cap'n Proto counts it
unsigned listSize(std::size_t Size) {
  if (Size > std::numeric_limits<std::uint32_t>::max() / 1024)
    throw BadMessage("a list of " + std::to_string(Size) + " elements is too long");
  return static_cast<unsigned>(Size);
}

} // namespace

void toWire(const Error &From, schema::Failure::Builder To) {
  To.setCode(static_cast<std::uint16_t>(From.m_Code));
  To.setRan(static_cast<schema::Failure::Ran>(From.m_Ran));
  To.setStep(text(From.m_Step));
  To.setPeer(text(From.m_Peer));
  To.setDetail(text(From.m_Detail));
}

void fromWire(schema::Failure::Reader From, Error &To) {
  To.m_Code = static_cast<ErrorCode>(From.getCode());
  To.m_Ran = enumeration<schema::Failure::Ran, Ran>(From.getRan(), schema::Failure::Ran::UNKNOWN, "ran");
  To.m_Step = string(From.getStep());
  To.m_Peer = string(From.getPeer());
  To.m_Detail = string(From.getDetail());
}

void toWire(const PeerDigest &From, schema::Digest::Builder To) {
  if (From.m_Members.size() > PeerDigest::maxMembers)
    throw BadMessage("the digest has " + std::to_string(From.m_Members.size()) + " members");
  To.setInstance(text(From.m_Instance));
  To.setIncarnation(From.m_Incarnation);
  To.setBeat(number32(From.m_Beat, "beat"));
  To.setReady(From.m_Ready);
  To.setLeaving(From.m_Leaving);
  if (!From.m_Publisher.value().empty())
    To.setPublisher(text(From.m_Publisher));
  To.setDomain(text(From.m_Domain));
  To.setRegion(text(From.m_Region));
  addressToWire(From.m_Rpc, To.initRpc());
  addressToWire(From.m_Admin, To.initAdmin());
  To.setRevision(From.m_Revision.value());
  To.setRestrictionHash(From.m_RestrictionHash);
  To.setLamport(From.m_Lamport.value());
  if (From.m_HeadReadAge)
    To.setHeadReadAgeMs(std::max<std::int64_t>(0, From.m_HeadReadAge->count()));
  To.setPush(From.m_Push);
  if (!From.m_Restrictions.empty()) {
    capnp::List<schema::Restriction>::Builder List =
        To.initRestrictions(listSize(From.m_Restrictions.size()));
    for (unsigned Index = 0; Index < List.size(); ++Index)
      restrictionToWire(From.m_Restrictions[Index], List[Index]);
  }
  membersToWire(From.m_Members, To);
}

void fromWire(schema::Digest::Reader From, PeerDigest &To) {
  To.m_Instance = InstanceId(string(From.getInstance()));
  To.m_Incarnation = From.getIncarnation();
  To.m_Beat = From.getBeat();
  To.m_Ready = From.getReady();
  To.m_Leaving = From.getLeaving();
  To.m_Publisher = InstanceId(string(From.getPublisher()));
  To.m_Domain = DomainId(string(From.getDomain()));
  To.m_Region = RegionId(string(From.getRegion()));
  To.m_Rpc = addressFromWire(From.getRpc());
  To.m_Admin = addressFromWire(From.getAdmin());
  To.m_Revision = ConfigRevision(From.getRevision());
  To.m_RestrictionHash = From.getRestrictionHash();
  To.m_Lamport = LamportTime(From.getLamport());
  To.m_HeadReadAge.reset();
  if (From.getHeadReadAgeMs() >= 0)
    To.m_HeadReadAge = std::chrono::milliseconds(From.getHeadReadAgeMs());
  To.m_Push = From.getPush();
  for (schema::Restriction::Reader Item : From.getRestrictions())
    To.m_Restrictions.push_back(restrictionFromWire(Item));
  const capnp::List<schema::Member>::Reader Members = From.getMembers();
  if (Members.size() > PeerDigest::maxMembers)
    throw BadMessage("the digest has " + std::to_string(Members.size()) + " members");
  for (schema::Member::Reader Item : Members)
    To.m_Members.push_back(memberFromWire(Item, From.getDomains()));
}

void toWire(const PeerFetch &From, schema::Fetch::Builder To) { To.setSince(From.m_Since.value()); }

void fromWire(schema::Fetch::Reader From, PeerFetch &To) { To.m_Since = ConfigRevision(From.getSince()); }

void toWire(const PeerDelta &From, schema::Delta::Builder To) {
  To.setBase(From.m_Base.value());
  To.setTarget(From.m_Target.value());
  To.setFull(From.m_Full);
  To.setBytes(data(From.m_Bytes));
}

void fromWire(schema::Delta::Reader From, PeerDelta &To) {
  To.m_Base = ConfigRevision(From.getBase());
  To.m_Target = ConfigRevision(From.getTarget());
  To.m_Full = From.getFull();
  const capnp::Data::Reader Bytes = From.getBytes();
  To.m_Bytes.assign(Bytes.begin(), Bytes.end());
}

void toWire(const PeerPermitRequest &From, schema::PermitRequest::Builder To) {
  To.setUpstream(text(From.m_Upstream));
  To.setRequester(text(From.m_Requester));
  To.setAttempt(text(From.m_Attempt));
  To.setEnded(From.m_Ended);
  To.setCold(From.m_Cold);
  To.setLamport(From.m_Lamport.value());
}

void fromWire(schema::PermitRequest::Reader From, PeerPermitRequest &To) {
  To.m_Upstream = UpstreamId(string(From.getUpstream()));
  To.m_Requester = InstanceId(string(From.getRequester()));
  To.m_Attempt = AttemptId(string(From.getAttempt()));
  To.m_Ended = From.getEnded();
  To.m_Cold = From.getCold();
  To.m_Lamport = LamportTime(From.getLamport());
}

void toWire(const PeerPermit &From, schema::Permit::Builder To) {
  To.setUpstream(text(From.m_Upstream));
  To.setAttempt(text(From.m_Attempt));
  To.setGranted(From.m_Granted);
  To.setWarm(From.m_Warm);
  if (!From.m_Reason.empty())
    To.setReason(text(From.m_Reason));
  To.setFencing(From.m_Fencing.value());
  // A negative duration converts to a number that is too large.
  To.setTtlMs(number32(static_cast<std::uint64_t>(From.m_Ttl.count()), "time to live"));
  To.setLamport(From.m_Lamport.value());
}

void fromWire(schema::Permit::Reader From, PeerPermit &To) {
  To.m_Upstream = UpstreamId(string(From.getUpstream()));
  To.m_Attempt = AttemptId(string(From.getAttempt()));
  To.m_Granted = From.getGranted();
  To.m_Warm = From.getWarm();
  To.m_Reason = string(From.getReason());
  To.m_Fencing = FencingNumber(From.getFencing());
  To.m_Ttl = std::chrono::milliseconds(From.getTtlMs());
  To.m_Lamport = LamportTime(From.getLamport());
}

void toWire(const PeerCharges &From, schema::Charges::Builder To) {
  To.setOwner(text(From.m_Owner));
  To.setIncarnation(From.m_Incarnation);
  To.setHolderIncarnation(From.m_HolderIncarnation);
  To.setLamport(From.m_Lamport.value());
  capnp::List<schema::Charge>::Builder List = To.initCharges(listSize(From.m_Charges.size()));
  for (unsigned Index = 0; Index < List.size(); ++Index) {
    const PeerCharge &Item = From.m_Charges[Index];
    schema::Charge::Builder Charge = List[Index];
    Charge.setKey(text(Item.m_Key));
    if (!Item.m_Json.empty())
      Charge.setJson(text(Item.m_Json));
  }
}

void fromWire(schema::Charges::Reader From, PeerCharges &To) {
  To.m_Owner = InstanceId(string(From.getOwner()));
  To.m_Incarnation = From.getIncarnation();
  To.m_HolderIncarnation = From.getHolderIncarnation();
  To.m_Lamport = LamportTime(From.getLamport());
  for (schema::Charge::Reader Item : From.getCharges())
    To.m_Charges.push_back({string(Item.getKey()), string(Item.getJson())});
}

void toWire(const PeerProbe &From, schema::Probe::Builder To) {
  To.setTarget(text(From.m_Target));
  addressToWire(From.m_Address, To.initAddress());
}

void fromWire(schema::Probe::Reader From, PeerProbe &To) {
  To.m_Target = InstanceId(string(From.getTarget()));
  To.m_Address = addressFromWire(From.getAddress());
}

void toWire(const PeerProbeResult &From, schema::ProbeResult::Builder To) {
  To.setReached(From.m_Reached);
  To.setIncarnation(From.m_Incarnation);
}

void fromWire(schema::ProbeResult::Reader From, PeerProbeResult &To) {
  To.m_Reached = From.getReached();
  To.m_Incarnation = From.getIncarnation();
}

void toWire(const EventFilter &From, schema::Filter::Builder To) {
  if (From.m_Request)
    To.setRequest(text(*From.m_Request));
  if (From.m_Upstream)
    To.setUpstream(text(*From.m_Upstream));
  if (From.m_Domain)
    To.setDomain(text(*From.m_Domain));
  To.setHasRevision(From.m_Revision.has_value());
  To.setRevision(From.m_Revision.value_or(ConfigRevision()).value());
  To.setHasKind(From.m_Kind.has_value());
  To.setKind(static_cast<std::uint16_t>(From.m_Kind.value_or(EventKind::Note)));
  To.setHasFrom(From.m_From.has_value());
  To.setFromMs(From.m_From.value_or(WallTime()).time_since_epoch().count());
  To.setHasUntil(From.m_Until.has_value());
  To.setUntilMs(From.m_Until.value_or(WallTime()).time_since_epoch().count());
  To.setLimit(static_cast<std::uint32_t>(
      std::min<std::size_t>(From.m_Limit, std::numeric_limits<std::uint32_t>::max())));
}

void fromWire(schema::Filter::Reader From, EventFilter &To) {
  if (From.hasRequest())
    To.m_Request = RequestId(string(From.getRequest()));
  if (From.hasUpstream())
    To.m_Upstream = UpstreamId(string(From.getUpstream()));
  if (From.hasDomain())
    To.m_Domain = DomainId(string(From.getDomain()));
  if (From.getHasRevision())
    To.m_Revision = ConfigRevision(From.getRevision());
  if (From.getHasKind())
    To.m_Kind = static_cast<EventKind>(From.getKind());
  if (From.getHasFrom())
    To.m_From = WallTime(std::chrono::milliseconds(From.getFromMs()));
  if (From.getHasUntil())
    To.m_Until = WallTime(std::chrono::milliseconds(From.getUntilMs()));
  To.m_Limit = From.getLimit();
}

void toWire(const PeerTimeline &From, schema::Events::Builder To) {
  To.setDropped(From.m_Dropped);
  capnp::List<schema::Event>::Builder List = To.initEvents(listSize(From.m_Events.size()));
  for (unsigned Index = 0; Index < List.size(); ++Index)
    eventToWire(From.m_Events[Index], List[Index]);
}

void fromWire(schema::Events::Reader From, PeerTimeline &To) {
  To.m_Dropped = From.getDropped();
  for (schema::Event::Reader Item : From.getEvents())
    To.m_Events.push_back(eventFromWire(Item));
}

void toWire(const PeerStatus &From, schema::Status::Builder To) {
  To.setInstance(text(From.m_Instance));
  To.setIncarnation(From.m_Incarnation);
  To.setDomain(text(From.m_Domain));
  To.setRevision(From.m_Revision.value());
  To.setReady(From.m_Ready);
  To.setJson(text(From.m_Json));
}

void fromWire(schema::Status::Reader From, PeerStatus &To) {
  To.m_Instance = InstanceId(string(From.getInstance()));
  To.m_Incarnation = From.getIncarnation();
  To.m_Domain = DomainId(string(From.getDomain()));
  To.m_Revision = ConfigRevision(From.getRevision());
  To.m_Ready = From.getReady();
  To.m_Json = string(From.getJson());
}

namespace {

/// Far more than there are tables, also in later versions; each entry may be answered with a whole table.
constexpr unsigned MaxTables = 32;

template <typename List> void checkTableCount(const List &Tables) {
  if (Tables.size() > MaxTables)
    throw BadMessage("a message names " + std::to_string(Tables.size()) + " tables");
}

bool isKnownTable(std::uint8_t Table) { return Table < relayedTableCount; }

} // namespace

void toWire(const PeerTableWatch &From, schema::TableWatch::Builder To) {
  capnp::List<schema::HeldTable>::Builder Tables = To.initHeld(static_cast<unsigned>(From.m_Held.size()));
  for (unsigned Index = 0; Index < Tables.size(); ++Index) {
    const PeerHeldTable &Held = From.m_Held[Index];
    Tables[Index].setTable(static_cast<std::uint8_t>(Held.m_Table));
    Tables[Index].setEra(Held.m_Era);
    Tables[Index].setVersion(Held.m_Version);
    Tables[Index].setRevision(Held.m_Revision.value());
    Tables[Index].setAgeMs(Held.m_Age.count());
  }
  To.setWaitMs(number32(static_cast<std::uint64_t>(From.m_Wait.count()), "wait"));
}

void fromWire(schema::TableWatch::Reader From, PeerTableWatch &To) {
  checkTableCount(From.getHeld());
  for (schema::HeldTable::Reader Held : From.getHeld())
    if (isKnownTable(Held.getTable()))
      To.m_Held.push_back({static_cast<RelayedTable>(Held.getTable()), Held.getEra(), Held.getVersion(),
                           ConfigRevision(Held.getRevision()), std::chrono::milliseconds(Held.getAgeMs())});
  To.m_Wait = std::chrono::milliseconds(From.getWaitMs());
}

void toWire(const PeerTableNewsList &From, schema::TableNewsList::Builder To) {
  capnp::List<schema::TableNews>::Builder Tables = To.initTables(static_cast<unsigned>(From.m_Tables.size()));
  for (unsigned Index = 0; Index < Tables.size(); ++Index) {
    const PeerTableNews &News = From.m_Tables[Index];
    Tables[Index].setTable(static_cast<std::uint8_t>(News.m_Table));
    Tables[Index].setEra(News.m_Era);
    Tables[Index].setVersion(News.m_Version);
    Tables[Index].setAgeMs(News.m_Age.count());
    if (!News.m_Bytes.empty())
      Tables[Index].setBytes(data(News.m_Bytes));
    Tables[Index].setRecovered(News.m_SinceRecovery.has_value());
    Tables[Index].setCutOff(News.m_CutOff);
    Tables[Index].setRecoveredMs(News.m_SinceRecovery.value_or(std::chrono::milliseconds{}).count());
  }
}

void fromWire(schema::TableNewsList::Reader From, PeerTableNewsList &To) {
  checkTableCount(From.getTables());
  for (schema::TableNews::Reader News : From.getTables()) {
    if (!isKnownTable(News.getTable()))
      continue;
    const capnp::Data::Reader Bytes = News.getBytes();
    PeerTableNews Received{static_cast<RelayedTable>(News.getTable()), News.getEra(), News.getVersion(),
                           std::chrono::milliseconds(News.getAgeMs()),
                           std::string(reinterpret_cast<const char *>(Bytes.begin()), Bytes.size())};
    Received.m_CutOff = News.getCutOff();
    if (News.getRecovered())
      Received.m_SinceRecovery = std::chrono::milliseconds(News.getRecoveredMs());
    To.m_Tables.push_back(std::move(Received));
  }
}

} // namespace bulrushpitch::detail
