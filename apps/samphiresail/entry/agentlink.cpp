#include "apps/samphiresail/entry/agentlink.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace samphiresail::entry {

AgentLink::AgentLink(Send aSend, Reopen aReopen)
  : mSend(std::move(aSend))
  , mReopen(std::move(aReopen))
{
}

std::uint64_t AgentLink::Attach(const ids::AttemptId& aAttempt,
                                const transport::PeerAddress& aAddress,
                                std::shared_ptr<AttemptChannel> aChannel)
{
  const std::lock_guard lock(mMutex);
  mChannels[aAttempt] = std::move(aChannel);
  Agent& agent = mAgents[aAddress];
  agent.mAttempts.insert(aAttempt);
  return agent.mConnection;
}

void AgentLink::Detach(const ids::AttemptId& aAttempt,
                       const transport::PeerAddress& aAddress)
{
  const std::lock_guard lock(mMutex);
  mChannels.erase(aAttempt);
  mAgents[aAddress].mAttempts.erase(aAttempt);
}

void AgentLink::AskTombstone(const wire::Tombstone& aTombstone,
                             const transport::PeerAddress& aAddress,
                             std::shared_ptr<AttemptChannel> aChannel)
{
  {
    const std::lock_guard lock(mMutex);
    mTombstones.emplace(ids::AttemptId(aTombstone.attempt_id()), std::move(aChannel));
  }
  wire::Envelope envelope;
  *envelope.mutable_tombstone() = aTombstone;
  SendTo(aAddress, std::move(envelope));
}

void AgentLink::EndTombstone(const ids::AttemptId& aAttempt,
                             const AttemptChannel* aChannel)
{
  const std::lock_guard lock(mMutex);
  const auto [begin, end] = mTombstones.equal_range(aAttempt);
  const auto it = std::find_if(
    begin, end, [aChannel](const auto& aItem) { return aItem.second.get() == aChannel; });
  if (it != end) {
    mTombstones.erase(it);
  }
}

void AgentLink::PushTombstoneReply(const wire::TombstoneReply& aReply)
{
  const std::lock_guard lock(mMutex);
  const auto [begin, end] = mTombstones.equal_range(ids::AttemptId(aReply.attempt_id()));
  std::for_each(begin, end, [&](const auto& aItem) { aItem.second->Push(aReply); });
}

void AgentLink::SendTo(const transport::PeerAddress& aAddress, wire::Envelope aEnvelope)
{
  mSend(aAddress, std::move(aEnvelope));
}

void AgentLink::ReopenConnection(const transport::PeerAddress& aAddress,
                                 std::uint64_t aConnection)
{
  const std::lock_guard lock(mMutex);
  Agent& agent = mAgents[aAddress];
  if (agent.mConnection != aConnection) {
    return;
  }
  ++agent.mConnection;
  mReopen(aAddress);
  for (const ids::AttemptId& attempt : agent.mAttempts) {
    const auto it = mChannels.find(attempt);
    if (it != mChannels.end()) {
      it->second->Push(ReattachEvent{ agent.mConnection });
    }
  }
}

std::string AgentLink::TicketOf(const transport::PeerAddress& aAddress) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mAgents.find(aAddress);
  return it == mAgents.end() ? std::string() : it->second.mTicket;
}

void AgentLink::StoreTicket(const transport::PeerAddress& aAddress,
                            const std::string& aTicket)
{
  if (aTicket.empty()) {
    return;
  }
  const std::lock_guard lock(mMutex);
  mAgents[aAddress].mTicket = aTicket;
}

void AgentLink::Push(const std::string& aAttempt, AttemptEvent aEvent)
{
  std::shared_ptr<AttemptChannel> channel;
  {
    const std::lock_guard lock(mMutex);
    const auto it = mChannels.find(ids::AttemptId(aAttempt));
    if (it == mChannels.end()) {
      return;
    }
    channel = it->second;
  }
  channel->Push(std::move(aEvent));
}

bool AgentLink::OnEnvelope(const transport::PeerAddress& aAddress,
                           const wire::Envelope& aEnvelope)
{
  using wire::Envelope;
  switch (aEnvelope.body_case()) {
    case Envelope::kAcknowledge:
      Push(aEnvelope.acknowledge().attempt_id(), aEnvelope.acknowledge());
      return true;
    case Envelope::kRefuse:
      StoreTicket(aAddress, aEnvelope.refuse().fresh_ticket());
      Push(aEnvelope.refuse().attempt_id(), aEnvelope.refuse());
      return true;
    case Envelope::kChunk:
      Push(aEnvelope.chunk().attempt_id(), aEnvelope.chunk());
      return true;
    case Envelope::kProgress:
      Push(aEnvelope.progress().attempt_id(), aEnvelope.progress());
      return true;
    case Envelope::kComplete:
      StoreTicket(aAddress, aEnvelope.complete().fresh_ticket());
      Push(aEnvelope.complete().attempt_id(), aEnvelope.complete());
      return true;
    case Envelope::kTombstoneReply:
      PushTombstoneReply(aEnvelope.tombstone_reply());
      return true;
    default:
      return false;
  }
}

void AgentLink::OnUnsent(const wire::Envelope& aEnvelope)
{
  if (aEnvelope.has_submit()) {
    Push(aEnvelope.submit().attempt_id(), NotSentEvent{});
  }
}

}
