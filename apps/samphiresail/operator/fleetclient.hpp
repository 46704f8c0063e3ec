#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_FLEETCLIENT_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_FLEETCLIENT_HPP

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "components/transport/peerclient.hpp"

namespace samphiresail::operators {

/// Asks many processes the same question and collects their answers.
class FleetClient
{
public:
  using Answers = std::map<transport::PeerAddress, wire::Envelope>;
  /// Writes the question with the given nonce into the envelope.
  using Question = std::function<void(wire::Envelope&, std::uint64_t)>;

  explicit FleetClient(const settings::CurveSettings& aCurve);

  /// Returns the answers that arrived within the timeout; ends early if all did.
  Answers Ask(const std::vector<transport::PeerAddress>& aAddresses,
              const Question& aQuestion,
              std::chrono::milliseconds aTimeout);

private:
  void Receive(const transport::PeerAddress& aAddress, wire::Envelope aEnvelope);

  std::mutex mMutex;
  std::condition_variable mArrived;
  std::uint64_t mNonce;
  Answers mAnswers;
  /// Last member: its thread calls Receive until it is gone.
  transport::PeerClient mClient;
};

}

#endif
