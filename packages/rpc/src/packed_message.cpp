#include "packed_message.h"

#include "compression.h"

#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <optional>

namespace bulrushpitch::detail {

namespace {

/// Far above the largest configuration.
constexpr std::size_t MaxExpandedBytes = 32UL * 1024 * 1024;

Error malformed(const std::string &Step, std::string Detail) {
  return Error{ErrorCode::PeerProtocol, Step, "", Ran::No, std::move(Detail)};
}

} // namespace

std::string packMessage(capnp::MessageBuilder &Message) {
  const kj::Array<capnp::word> Words = capnp::messageToFlatArray(Message);
  const kj::ArrayPtr<const char> Plain = Words.asChars();
  return compress({Plain.begin(), Plain.size()});
}

Expected<Done> unpackMessage(std::string_view Packed, const std::string &Step,
                             const std::function<void(capnp::MessageReader &)> &Read) {
  const std::optional<std::string> Expanded = expand(Packed, MaxExpandedBytes);
  if (!Expanded)
    return malformed(Step, "the bytes can't be expanded");
  kj::Array<capnp::word> Words = kj::heapArray<capnp::word>(Expanded->size() / sizeof(capnp::word));
  std::memcpy(Words.begin(), Expanded->data(), Words.asBytes().size());
  capnp::ReaderOptions Options;
  Options.traversalLimitInWords = MaxExpandedBytes / sizeof(capnp::word);
  try {
    capnp::FlatArrayMessageReader Message(Words, Options);
    Read(Message);
  } catch (const kj::Exception &Failure) {
    return malformed(Step, Failure.getDescription().cStr());
  }
  return Done{};
}

} // namespace bulrushpitch::detail
