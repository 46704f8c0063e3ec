#include "apps/samphiresail/entry/control/outbox.hpp"

#include <utility>

namespace samphiresail::entry {

Outbox::Outbox(membership::Member aSelf)
  : mSelf(std::move(aSelf))
{
}

void Outbox::Send(const membership::Member& aTo, wire::Envelope aEnvelope)
{
  Add(SendToPeer{ aTo.mName, aTo.mAddress, Sign(std::move(aEnvelope)) });
}

void Outbox::Reply(const std::string& aRoute, wire::Envelope aEnvelope)
{
  Add(ReplyToPeer{ aRoute, Sign(std::move(aEnvelope)) });
}

void Outbox::Call(StorePurpose aPurpose,
                  store::StoreRequest aRequest,
                  timing::Instant aNow)
{
  mCalls[++mLastCall] = { aPurpose, aNow };
  Add(StoreCall{ mLastCall, std::move(aRequest) });
}

std::optional<PendingCall> Outbox::Finish(std::uint64_t aId)
{
  const auto node = mCalls.extract(aId);
  return node.empty() ? std::nullopt : std::optional(node.mapped());
}

wire::Envelope Outbox::Sign(wire::Envelope aEnvelope) const
{
  aEnvelope.set_sender(mSelf.mName.Str());
  aEnvelope.set_sender_incarnation(mSelf.mIncarnation.Count());
  aEnvelope.set_configuration_version(mVersions.mConfiguration.Count());
  aEnvelope.set_roster_version(mVersions.mRoster.Count());
  return aEnvelope;
}

}
