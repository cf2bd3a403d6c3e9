#include "bulrushpitch/rpc/table_codec.h"

#include "generated/tables.capnp.h"
#include "packed_message.h"

#include <capnp/message.h>

namespace bulrushpitch {

namespace {

using detail::fromText;
using detail::listSize;
using detail::textsFromWire;
using detail::textsToWire;
using detail::toText;

void toWire(const RegisteredUpstream &From, schema::Upstream::Builder To) {
  To.setId(toText(From.m_Id));
  To.setService(toText(From.m_Service));
  To.setDomain(toText(From.m_Domain));
  To.setHost(toText(From.m_Address.m_Address));
  To.setPort(From.m_Address.m_Port);
  To.setVersion(toText(From.m_Version));
  To.setSlots(From.m_Slots);
  To.setDraining(From.m_Draining);
  To.setColdNs(From.m_ColdPeriod.count());
  To.setStartedAt(From.m_StartedAt);
}

RegisteredUpstream fromWire(schema::Upstream::Reader From) {
  RegisteredUpstream To;
  To.m_Id = UpstreamId(fromText(From.getId()));
  To.m_Service = ServiceId(fromText(From.getService()));
  To.m_Domain = DomainId(fromText(From.getDomain()));
  To.m_Address = {fromText(From.getHost()), From.getPort()};
  To.m_Version = VersionId(fromText(From.getVersion()));
  To.m_Slots = From.getSlots();
  To.m_Draining = From.getDraining();
  To.m_ColdPeriod = Duration(From.getColdNs());
  To.m_StartedAt = From.getStartedAt();
  return To;
}

RowChanges<RegisteredUpstream> fromWire(schema::UpstreamRows::Reader From) {
  RowChanges<RegisteredUpstream> To;
  To.m_Whole = From.getWhole();
  To.m_Updated.reserve(From.getUpdated().size());
  for (schema::Upstream::Reader Row : From.getUpdated())
    To.m_Updated.push_back(fromWire(Row));
  To.m_Removed = textsFromWire<std::string>(From.getRemoved());
  return To;
}

} // namespace

std::string encodeUpstreams(const RowChanges<RegisteredUpstream> &Changes) {
  capnp::MallocMessageBuilder Message;
  schema::UpstreamRows::Builder Root = Message.initRoot<schema::UpstreamRows>();
  Root.setWhole(Changes.m_Whole);
  capnp::List<schema::Upstream>::Builder Updated = Root.initUpdated(listSize(Changes.m_Updated.size()));
  for (unsigned Index = 0; Index < Updated.size(); ++Index)
    toWire(Changes.m_Updated[Index], Updated[Index]);
  textsToWire(Changes.m_Removed, Root.initRemoved(listSize(Changes.m_Removed.size())));
  return detail::packMessage(Message);
}

Expected<RowChanges<RegisteredUpstream>> decodeUpstreams(std::string_view Encoded) {
  RowChanges<RegisteredUpstream> Changes;
  const Expected<Done> Read =
      detail::unpackMessage(Encoded, "decode upstreams", [&](capnp::MessageReader &Message) {
        Changes = fromWire(Message.getRoot<schema::UpstreamRows>());
      });
  if (!Read)
    return Read.error();
  return Changes;
}

} // namespace bulrushpitch
