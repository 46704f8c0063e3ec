#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_FRESHNESS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_FRESHNESS_HPP

#include <map>
#include <optional>
#include <string>

#include "apps/samphiresail/entry/control/controlstate.hpp"
#include "apps/samphiresail/entry/control/outbox.hpp"

namespace samphiresail::entry {

/// Message of another process and the connection on which an answer reaches it.
struct PeerMessage
{
  std::string mRoute;
  const wire::Envelope& mEnvelope;

  ids::ProcessId Sender() const { return ids::ProcessId(mEnvelope.sender()); }
  units::Incarnation SenderIncarnation() const
  {
    return units::Incarnation(mEnvelope.sender_incarnation());
  }
};

/// Asks peers for evidence and records, and answers their questions.
class Freshness
{
public:
  Freshness(ControlState& aState, Outbox& aOutbox);

  /// Asks the reader of the own availability zone; asks the whole roster if the evidence
  /// grows old or aAskElectors is true.
  void Tick(bool aAskElectors, timing::Instant aNow);

  void OnQuestion(const PeerMessage& aMessage, timing::Instant aNow);
  void OnAnswer(const PeerMessage& aMessage, timing::Instant aNow);
  void OnRecordRequest(const PeerMessage& aMessage);
  void OnRecordReply(const PeerMessage& aMessage);

private:
  void Ask(const membership::Member& aPeer, bool aPoll, timing::Instant aNow);
  void FetchMissing(const membership::Member& aPeer, const membership::Versions& aStated);
  void Fetch(const membership::Member& aPeer, const char* aKey, units::Version aHeld);
  std::optional<membership::Member> FindPeer(const PeerMessage& aMessage) const;

  ControlState& mState;
  Outbox& mOutbox;
  std::optional<timing::Instant> mLastAsked;
};

}

#endif
