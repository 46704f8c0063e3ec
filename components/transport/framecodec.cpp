#include "components/transport/framecodec.hpp"

namespace samphiresail::transport {

namespace {

/// Keeps the library from writing plain text about a peer's bad frame into the log.
const google::protobuf::LogHandler* const kSilenced =
  google::protobuf::SetLogHandler(nullptr);

}

std::string EncodeFrame(wire::Envelope aEnvelope)
{
  aEnvelope.set_protocol(kProtocol);
  return aEnvelope.SerializeAsString();
}

std::optional<wire::Envelope> DecodeFrame(std::string_view aFrame)
{
  static_cast<void>(kSilenced);
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
