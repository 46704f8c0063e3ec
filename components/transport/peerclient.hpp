#ifndef SAMPHIRESAIL_COMPONENTS_TRANSPORT_PEERCLIENT_HPP
#define SAMPHIRESAIL_COMPONENTS_TRANSPORT_PEERCLIENT_HPP

#include <functional>
#include <memory>
#include <string>

#include "components/settings/processsettings.hpp"
#include "components/transport/peerserver.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::transport {

/// Address of a PeerServer as "host:port".
using PeerAddress = std::string;

/// Connects to other processes, lazily and one connection for each address. One thread
/// owns the sockets and calls the handlers; the other functions may be called from any
/// thread.
class PeerClient
{
public:
  using Handler = std::function<void(const PeerAddress&, wire::Envelope)>;
  /// Called with an envelope that was certainly not sent, since no connection came up in
  /// time.
  using UnsentHandler = std::function<void(const PeerAddress&, wire::Envelope)>;

  PeerClient(const settings::CurveSettings& aCurve,
             Handler aHandler,
             UnsentHandler aUnsentHandler);
  ~PeerClient();

  /// Queues an envelope. Once it is handed to a connection it counts as possibly sent.
  void Send(const PeerAddress& aAddress, wire::Envelope aEnvelope);

  /// Closes the connection to an address; the next send opens a new one.
  void Reopen(const PeerAddress& aAddress);

  TransportCounts Counts() const;

private:
  class Loop;
  std::unique_ptr<Loop> mLoop;
};

}

#endif
