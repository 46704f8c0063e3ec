#include "apps/samphiresail/operator/fleetclient.hpp"

#include <random>
#include <utility>

namespace samphiresail::operators {

namespace {

std::uint64_t DrawNonce()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

std::uint64_t NonceOf(const wire::Envelope& aEnvelope)
{
  switch (aEnvelope.body_case()) {
    case wire::Envelope::kFreshnessReply:
      return aEnvelope.freshness_reply().nonce();
    case wire::Envelope::kStatusReply:
      return aEnvelope.status_reply().nonce();
    case wire::Envelope::kTimelineReply:
      return aEnvelope.timeline_reply().nonce();
    default:
      return 0;
  }
}

}

FleetClient::FleetClient(const settings::CurveSettings& aCurve)
  : mNonce(DrawNonce())
  , mClient(
      aCurve,
      [this](const transport::PeerAddress& aAddress, wire::Envelope aEnvelope) {
        Receive(aAddress, std::move(aEnvelope));
      },
      [](const transport::PeerAddress&, const wire::Envelope&) {})
{
}

FleetClient::Answers FleetClient::Ask(
  const std::vector<transport::PeerAddress>& aAddresses,
  const Question& aQuestion,
  std::chrono::milliseconds aTimeout)
{
  wire::Envelope envelope;
  envelope.set_sender("operator");
  std::unique_lock lock(mMutex);
  mAnswers.clear();
  ++mNonce;
  aQuestion(envelope, mNonce);
  for (const transport::PeerAddress& address : aAddresses) {
    mClient.Send(address, envelope);
  }
  mArrived.wait_for(lock, aTimeout, [&] { return mAnswers.size() >= aAddresses.size(); });
  return std::exchange(mAnswers, {});
}

void FleetClient::Receive(const transport::PeerAddress& aAddress,
                          wire::Envelope aEnvelope)
{
  const std::lock_guard lock(mMutex);
  if (NonceOf(aEnvelope) == mNonce) {
    mAnswers.insert_or_assign(aAddress, std::move(aEnvelope));
    mArrived.notify_one();
  }
}

}
