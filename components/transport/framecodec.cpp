#include "components/transport/framecodec.hpp"

namespace samphiresail::transport {

std::string EncodeFrame(wire::Envelope aEnvelope)
{
  aEnvelope.set_protocol(kProtocol);
  return aEnvelope.SerializeAsString();
}

std::optional<wire::Envelope> DecodeFrame(std::string_view aFrame)
{
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(aFrame.data(), static_cast<int>(aFrame.size()))) {
    return std::nullopt;
  }
  if (envelope.protocol() != kProtocol ||
      envelope.body_case() == wire::Envelope::BODY_NOT_SET) {
    return std::nullopt;
  }
  return envelope;
}

}
