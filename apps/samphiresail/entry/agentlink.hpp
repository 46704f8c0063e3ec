#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_AGENTLINK_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_AGENTLINK_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "apps/samphiresail/entry/attemptchannel.hpp"
#include "components/ids/ids.hpp"
#include "components/transport/peerclient.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

/// Connections to agents as the traffic threads see them: sends envelopes, hands answers
/// to the channel of their attempt, and keeps the latest ticket of each agent.
class AgentLink
{
public:
  using Send = std::function<void(const transport::PeerAddress&, wire::Envelope)>;
  using Reopen = std::function<void(const transport::PeerAddress&)>;

  AgentLink(Send aSend, Reopen aReopen);

  /// Registers the channel under the attempt and returns the number of the agent's
  /// current connection.
  std::uint64_t Attach(const ids::AttemptId& aAttempt,
                       const transport::PeerAddress& aAddress,
                       std::shared_ptr<AttemptChannel> aChannel);
  void Detach(const ids::AttemptId& aAttempt, const transport::PeerAddress& aAddress);

  /// Sends a tombstone; its answers reach the channel as well as a running attempt's.
  void AskTombstone(const wire::Tombstone& aTombstone,
                    const transport::PeerAddress& aAddress,
                    std::shared_ptr<AttemptChannel> aChannel);
  void EndTombstone(const ids::AttemptId& aAttempt, const AttemptChannel* aChannel);

  void SendTo(const transport::PeerAddress& aAddress, wire::Envelope aEnvelope);

  /// Opens the connection anew if it still is the given one, and tells all attempts on
  /// it.
  void ReopenConnection(const transport::PeerAddress& aAddress,
                        std::uint64_t aConnection);

  /// Returns the latest ticket of an agent; empty if there is none.
  std::string TicketOf(const transport::PeerAddress& aAddress) const;
  void StoreTicket(const transport::PeerAddress& aAddress, const std::string& aTicket);

  /// Takes an envelope of an agent from the transport thread. Returns false if it belongs
  /// to no attempt.
  bool OnEnvelope(const transport::PeerAddress& aAddress,
                  const wire::Envelope& aEnvelope);

  /// Takes an envelope that was not sent.
  void OnUnsent(const wire::Envelope& aEnvelope);

private:
  struct Agent
  {
    std::uint64_t mConnection{ 1 };
    std::string mTicket;
    std::unordered_set<ids::AttemptId> mAttempts;
  };

  void Push(const std::string& aAttempt, AttemptEvent aEvent);
  void PushTombstoneReply(const wire::TombstoneReply& aReply);

  Send mSend;
  Reopen mReopen;
  mutable std::mutex mMutex;
  std::unordered_map<transport::PeerAddress, Agent> mAgents;
  std::unordered_map<ids::AttemptId, std::shared_ptr<AttemptChannel>> mChannels;
  std::unordered_multimap<ids::AttemptId, std::shared_ptr<AttemptChannel>> mTombstones;
};

}

#endif
