#include "bulrushpitch/rpc/order_codec.h"

#include "generated/orders.capnp.h"
#include "packed_message.h"

namespace bulrushpitch {

namespace {

using detail::fromText;
using detail::listSize;
using detail::textsFromWire;
using detail::textsToWire;
using detail::toText;
using std::chrono::milliseconds;

constexpr std::uint8_t LastRequestKind = static_cast<std::uint8_t>(RequestKind::Stream);

void toWire(const ForwardRoute &From, schema::Route::Builder To) {
  To.setName(toText(From.m_Name));
  To.setHost(toText(From.m_Host));
  To.setPrefix(toText(From.m_Prefix));
  To.setKind(static_cast<std::uint8_t>(From.m_Kind));
  To.setTimeoutMs(From.m_Timeout.count());
  To.setTargetLatencyMs(From.m_TargetLatency.count());
  To.setTargetGapMs(From.m_TargetGap.count());
  To.setPriority(From.m_Priority);
  To.setMaxAttempts(From.m_MaxAttempts);
  To.setPublic(From.m_Public);
  To.setResumable(From.m_Resumable);
  capnp::List<schema::ServiceShare>::Builder Shares = To.initServices(listSize(From.m_Services.size()));
  for (unsigned Index = 0; Index < Shares.size(); ++Index) {
    Shares[Index].setService(toText(From.m_Services[Index].m_Service));
    Shares[Index].setWeight(From.m_Services[Index].m_Weight);
  }
  textsToWire(From.m_Models, To.initModels(listSize(From.m_Models.size())));
  textsToWire(From.m_Regions, To.initRegions(listSize(From.m_Regions.size())));
}

ForwardRoute fromWire(schema::Route::Reader From) {
  KJ_REQUIRE(From.getKind() <= LastRequestKind, "the kind of a route is not known");
  ForwardRoute To;
  To.m_Name = fromText(From.getName());
  To.m_Host = fromText(From.getHost());
  To.m_Prefix = fromText(From.getPrefix());
  To.m_Kind = static_cast<RequestKind>(From.getKind());
  To.m_Timeout = milliseconds(From.getTimeoutMs());
  To.m_TargetLatency = milliseconds(From.getTargetLatencyMs());
  To.m_TargetGap = milliseconds(From.getTargetGapMs());
  To.m_Priority = From.getPriority();
  To.m_MaxAttempts = From.getMaxAttempts();
  To.m_Public = From.getPublic();
  To.m_Resumable = From.getResumable();
  for (schema::ServiceShare::Reader Share : From.getServices())
    To.m_Services.push_back({ServiceId(fromText(Share.getService())), Share.getWeight()});
  To.m_Models = textsFromWire<ModelId>(From.getModels());
  To.m_Regions = textsFromWire<RegionId>(From.getRegions());
  return To;
}

void toWire(const ForwardTeam &From, schema::Team::Builder To) {
  To.setId(toText(From.m_Id));
  textsToWire(From.m_Keys, To.initKeys(listSize(From.m_Keys.size())));
  To.setHasPriority(From.m_Priority.has_value());
  To.setPriority(From.m_Priority.value_or(0));
  textsToWire(From.m_Regions, To.initRegions(listSize(From.m_Regions.size())));
}

ForwardTeam fromWire(schema::Team::Reader From) {
  ForwardTeam To;
  To.m_Id = TeamId(fromText(From.getId()));
  To.m_Keys = textsFromWire<std::string>(From.getKeys());
  if (From.getHasPriority())
    To.m_Priority = From.getPriority();
  To.m_Regions = textsFromWire<RegionId>(From.getRegions());
  return To;
}

void toWire(const ForwardService &From, schema::Service::Builder To) {
  To.setId(toText(From.m_Id));
  To.setColdRequestsPerSecond(From.m_ColdRequestsPerSecond);
  capnp::List<schema::ModelCost>::Builder Costs = To.initModelCosts(listSize(From.m_ModelCosts.size()));
  unsigned Index = 0;
  for (const std::pair<const ModelId, double> &Cost : From.m_ModelCosts) {
    Costs[Index].setModel(toText(Cost.first));
    Costs[Index].setCost(Cost.second);
    ++Index;
  }
}

ForwardService fromWire(schema::Service::Reader From) {
  ForwardService To;
  To.m_Id = ServiceId(fromText(From.getId()));
  To.m_ColdRequestsPerSecond = From.getColdRequestsPerSecond();
  for (schema::ModelCost::Reader Cost : From.getModelCosts())
    To.m_ModelCosts[ModelId(fromText(Cost.getModel()))] = Cost.getCost();
  return To;
}

void toWire(const TrialOrder &From, schema::Rollout::Builder To) {
  To.setService(toText(From.m_Service));
  To.setTargetVersion(toText(From.m_TargetVersion));
  To.setTimeLimitNs(From.m_TimeLimit.count());
  To.setOrderVersion(From.m_OrderVersion);
}

TrialOrder fromWire(schema::Rollout::Reader From) {
  TrialOrder To;
  To.m_Service = ServiceId(fromText(From.getService()));
  To.m_TargetVersion = VersionId(fromText(From.getTargetVersion()));
  To.m_TimeLimit = Duration(From.getTimeLimitNs());
  To.m_OrderVersion = From.getOrderVersion();
  return To;
}

template <typename Element, typename ListBuilder>
void elementsToWire(const std::vector<Element> &From, ListBuilder To) {
  for (unsigned Index = 0; Index < To.size(); ++Index)
    toWire(From[Index], To[Index]);
}

template <typename Element, typename ListReader> std::vector<Element> elementsFromWire(ListReader From) {
  std::vector<Element> To;
  To.reserve(From.size());
  for (auto Item = From.begin(); Item != From.end(); ++Item)
    To.push_back(fromWire(*Item));
  return To;
}

void toWire(const ConfigDelta &From, schema::ConfigDelta::Builder To) {
  To.setBase(From.m_Base.value());
  To.setRevision(From.m_Revision.value());
  elementsToWire(From.m_Routes, To.initRoutes(listSize(From.m_Routes.size())));
  textsToWire(From.m_RemovedRoutes, To.initRemovedRoutes(listSize(From.m_RemovedRoutes.size())));
  elementsToWire(From.m_Teams, To.initTeams(listSize(From.m_Teams.size())));
  textsToWire(From.m_RemovedTeams, To.initRemovedTeams(listSize(From.m_RemovedTeams.size())));
  elementsToWire(From.m_Services, To.initServices(listSize(From.m_Services.size())));
  To.setMaxHeaderBytes(From.m_Limits.m_MaxHeaderBytes);
  To.setMaxBodyBytes(From.m_Limits.m_MaxBodyBytes);
  To.setHeaderTimeoutMs(From.m_Limits.m_HeaderTimeout.count());
  To.setIdleTimeoutMs(From.m_Limits.m_IdleTimeout.count());
  To.setContentHash(From.m_ContentHash);
}

ConfigDelta fromWire(schema::ConfigDelta::Reader From) {
  ConfigDelta To;
  To.m_Base = ConfigRevision(From.getBase());
  To.m_Revision = ConfigRevision(From.getRevision());
  To.m_Routes = elementsFromWire<ForwardRoute>(From.getRoutes());
  To.m_RemovedRoutes = textsFromWire<std::string>(From.getRemovedRoutes());
  To.m_Teams = elementsFromWire<ForwardTeam>(From.getTeams());
  To.m_RemovedTeams = textsFromWire<TeamId>(From.getRemovedTeams());
  To.m_Services = elementsFromWire<ForwardService>(From.getServices());
  To.m_Limits.m_MaxHeaderBytes = From.getMaxHeaderBytes();
  To.m_Limits.m_MaxBodyBytes = From.getMaxBodyBytes();
  To.m_Limits.m_HeaderTimeout = milliseconds(From.getHeaderTimeoutMs());
  To.m_Limits.m_IdleTimeout = milliseconds(From.getIdleTimeoutMs());
  To.m_ContentHash = From.getContentHash();
  return To;
}

OrderSnapshot fromWire(schema::OrderSnapshot::Reader From) {
  OrderSnapshot To;
  To.m_DomainsOut = textsFromWire<DomainId>(From.getDomainsOut());
  To.m_Trials = elementsFromWire<TrialOrder>(From.getRollouts());
  if (From.hasConfig())
    To.m_Config = fromWire(From.getConfig());
  return To;
}

} // namespace

std::string encodeOrders(const OrderSnapshot &Orders) {
  capnp::MallocMessageBuilder Message;
  schema::OrderSnapshot::Builder Root = Message.initRoot<schema::OrderSnapshot>();
  textsToWire(Orders.m_DomainsOut, Root.initDomainsOut(listSize(Orders.m_DomainsOut.size())));
  elementsToWire(Orders.m_Trials, Root.initRollouts(listSize(Orders.m_Trials.size())));
  if (Orders.m_Config)
    toWire(*Orders.m_Config, Root.initConfig());
  return detail::packMessage(Message);
}

Expected<OrderSnapshot> decodeOrders(std::string_view Encoded) {
  OrderSnapshot Orders;
  const Expected<Done> Read =
      detail::unpackMessage(Encoded, "decode orders", [&](capnp::MessageReader &Message) {
        Orders = fromWire(Message.getRoot<schema::OrderSnapshot>());
      });
  if (!Read)
    return Read.error();
  return Orders;
}

} // namespace bulrushpitch
