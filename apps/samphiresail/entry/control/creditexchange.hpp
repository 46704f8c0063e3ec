#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_CREDITEXCHANGE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_CREDITEXCHANGE_HPP

#include <optional>

#include "apps/samphiresail/entry/control/controlstate.hpp"
#include "apps/samphiresail/entry/control/freshness.hpp"
#include "apps/samphiresail/entry/control/outbox.hpp"
#include "components/limits/creditpool.hpp"
#include "components/limits/creditrequester.hpp"
#include "components/limits/shareholder.hpp"

namespace samphiresail::entry {

/// Moves rate credit between the holders of shares and the traffic threads.
class CreditExchange
{
public:
  CreditExchange(ControlState& aState,
                 Outbox& aOutbox,
                 limits::ShareHolder& aHolder,
                 limits::CreditPool& aPool);

  /// Asks for credit and hands back what is unused.
  void Tick(timing::Instant aNow);

  void OnRequest(const PeerMessage& aMessage, timing::Instant aNow);
  void OnGrant(const PeerMessage& aMessage, timing::Instant aNow);
  void OnRefund(const PeerMessage& aMessage, timing::Instant aNow);

private:
  void SendAsk(const limits::CreditRequestMessage& aAsk, timing::Instant aNow);
  void ServeAsk(const limits::CreditRequestMessage& aAsk, timing::Instant aNow);
  void SendRefund(const limits::Refund& aRefund, timing::Instant aNow);
  units::Tokens Grant(const ids::ClientAccountId& aAccount,
                      const limits::GrantKey& aKey,
                      units::Tokens aWanted,
                      timing::Instant aNow);
  void Accept(const ids::ProcessId& aHolder,
              std::uint64_t aNonce,
              units::Tokens aTokens,
              timing::Instant aNow);
  limits::GrantKey OwnKey(std::uint64_t aNonce) const;
  ids::ProcessId NearestHolder() const;
  std::optional<membership::Member> FindHolder(const ids::ProcessId& aName) const;

  ControlState& mState;
  Outbox& mOutbox;
  limits::ShareHolder& mHolder;
  limits::CreditPool& mPool;
  limits::CreditRequester mRequester;
  std::uint64_t mLastRefund{ 0 };
};

}

#endif
