#ifndef SAMPHIRESAIL_COMPONENTS_TRANSPORT_FRAMECODEC_HPP
#define SAMPHIRESAIL_COMPONENTS_TRANSPORT_FRAMECODEC_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::transport {

/// Version of the messages between processes.
inline constexpr std::uint32_t kProtocol = 1;

/// Writes an envelope as a frame and stamps it with the protocol version.
std::string EncodeFrame(wire::Envelope aEnvelope);

/// Reads a frame; returns nothing for a malformed one, one of another protocol version,
/// or one without a known body.
std::optional<wire::Envelope> DecodeFrame(std::string_view aFrame);

}

#endif
