#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_PEERCODEC_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_PEERCODEC_HPP

#include <optional>
#include <string>
#include <string_view>

#include "components/gateway/peertable.hpp"

namespace samphiresail::gateway {

std::string EncodePeerReport(const PeerReport& aReport);
/// Returns nothing if the bytes are not a peer report.
std::optional<PeerReport> DecodePeerReport(std::string_view aBytes);
/// Returns the encoded report with mForwarded set.
std::string MarkForwarded(std::string_view aBytes);

/// Registration of an entry in the store.
struct MemberRecord
{
  ids::ProcessId mProcess;
  settings::SocketAddress mAddress;
  /// Cores that the entry may use.
  double mCores{ 0.0 };
  ids::AvailabilityZoneId mZone;
};
std::string EncodeMember(const MemberRecord& aMember);
std::optional<MemberRecord> DecodeMember(const std::string& aBytes);

}

#endif
