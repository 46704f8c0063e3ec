#ifndef SAMPHIRESAIL_COMPONENTS_TRANSPORT_PEERSERVER_HPP
#define SAMPHIRESAIL_COMPONENTS_TRANSPORT_PEERSERVER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "components/settings/processsettings.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::transport {

/// Opaque identity of a connection of a PeerServer.
using Route = std::string;

/// Frames that a transport has dropped.
struct TransportCounts
{
  std::uint64_t mBadFrames{ 0 };
  std::uint64_t mUndeliverable{ 0 };
};

/// Listens for the connections of other processes. One thread owns the socket and calls
/// the handler; Send may be called from any thread.
class PeerServer
{
public:
  using Handler = std::function<void(const Route&, wire::Envelope)>;

  /// Binds at once and throws zmq::error_t if the address is taken.
  PeerServer(const settings::SocketAddress& aAddress,
             const settings::CurveSettings& aCurve,
             Handler aHandler);
  ~PeerServer();

  /// Queues an envelope for the connection; it is dropped and counted if that is closed.
  void Send(const Route& aRoute, wire::Envelope aEnvelope);

  /// Returns the address that is bound, with the port that the system chose.
  settings::SocketAddress Address() const;

  TransportCounts Counts() const;

private:
  class Loop;
  std::unique_ptr<Loop> mLoop;
};

}

#endif
