#ifndef BULRUSHPITCH_RPC_SRC_CONVERSION_H
#define BULRUSHPITCH_RPC_SRC_CONVERSION_H

#include "bulrushpitch/core/expected.h"
#include "bulrushpitch/rpc/messages.h"
#include "generated/peer.capnp.h"

#include <stdexcept>

namespace bulrushpitch::detail {

/// @brief A message that cannot be sent or understood.
class BadMessage : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// @name toWire: writes a struct into a message. Throws BadMessage if the struct cannot be sent.
/// @{
void toWire(const Error &From, schema::Failure::Builder To);
void toWire(const PeerDigest &From, schema::Digest::Builder To);
void toWire(const PeerFetch &From, schema::Fetch::Builder To);
void toWire(const PeerDelta &From, schema::Delta::Builder To);
void toWire(const PeerPermitRequest &From, schema::PermitRequest::Builder To);
void toWire(const PeerPermit &From, schema::Permit::Builder To);
void toWire(const PeerCharges &From, schema::Charges::Builder To);
void toWire(const PeerProbe &From, schema::Probe::Builder To);
void toWire(const PeerProbeResult &From, schema::ProbeResult::Builder To);
void toWire(const EventFilter &From, schema::Filter::Builder To);
void toWire(const PeerTimeline &From, schema::Events::Builder To);
void toWire(const PeerStatus &From, schema::Status::Builder To);
void toWire(const PeerTableWatch &From, schema::TableWatch::Builder To);
void toWire(const PeerTableNewsList &From, schema::TableNewsList::Builder To);
inline void toWire(const Done & /*From*/, schema::Empty::Builder /*To*/) {}
/// @}

/// @name fromWire: reads a struct from a message. Throws BadMessage or kj::Exception if it is malformed.
/// @{
void fromWire(schema::Failure::Reader From, Error &To);
void fromWire(schema::Digest::Reader From, PeerDigest &To);
void fromWire(schema::Fetch::Reader From, PeerFetch &To);
void fromWire(schema::Delta::Reader From, PeerDelta &To);
void fromWire(schema::PermitRequest::Reader From, PeerPermitRequest &To);
void fromWire(schema::Permit::Reader From, PeerPermit &To);
void fromWire(schema::Charges::Reader From, PeerCharges &To);
void fromWire(schema::Probe::Reader From, PeerProbe &To);
void fromWire(schema::ProbeResult::Reader From, PeerProbeResult &To);
void fromWire(schema::Filter::Reader From, EventFilter &To);
void fromWire(schema::Events::Reader From, PeerTimeline &To);
void fromWire(schema::Status::Reader From, PeerStatus &To);
void fromWire(schema::TableWatch::Reader From, PeerTableWatch &To);
void fromWire(schema::TableNewsList::Reader From, PeerTableNewsList &To);
inline void fromWire(schema::Empty::Reader /*From*/, Done & /*To*/) {}
/// @}

/// @brief Writes a hook's answer into a call's result.
template <typename T, typename Builder> void resultToWire(const Expected<T> &From, Builder To) {
  if (From)
    toWire(*From, To.initValue());
  else
    toWire(From.error(), To.initFailure());
}

/// @brief Reads a call's result. Throws as fromWire does.
template <typename T, typename Reader> Expected<T> resultFromWire(const Reader &From) {
  if (From.isValue()) {
    T Value;
    fromWire(From.getValue(), Value);
    return Value;
  }
  if (!From.isFailure())
    throw BadMessage("the result is neither a value nor a failure");
  Error Failure;
  fromWire(From.getFailure(), Failure);
  return Failure;
}

} // namespace bulrushpitch::detail

#endif // BULRUSHPITCH_RPC_SRC_CONVERSION_H
