#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_PERMITEXCHANGE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_PERMITEXCHANGE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "apps/samphiresail/entry/control/controlstate.hpp"
#include "apps/samphiresail/entry/control/freshness.hpp"
#include "apps/samphiresail/entry/control/outbox.hpp"
#include "components/limits/permitholder.hpp"

namespace samphiresail::entry {

/// Finds load permits for the traffic threads: asks the own share first, then the other
/// holders one after the other.
class PermitExchange
{
public:
  PermitExchange(ControlState& aState, Outbox& aOutbox, limits::PermitHolder& aHolder);

  /// Moves on from holders that do not answer.
  void Tick(timing::Instant aNow);

  /// Starts a request of the traffic threads; the answer is an AnswerPermit.
  void Request(std::uint64_t aId, timing::Instant aNow);
  void Release(const std::string& aPermit, timing::Instant aNow);

  void OnRequest(const PeerMessage& aMessage, timing::Instant aNow);
  void OnGrant(const PeerMessage& aMessage, timing::Instant aNow);
  void OnRelease(const PeerMessage& aMessage);

private:
  struct Search
  {
    std::uint64_t mId{ 0 };
    std::vector<ids::ProcessId> mLeft;
    timing::Instant mAskedAt;
    timing::Duration mRetryAfter{ 0 };
  };

  limits::PermitReply OwnAnswer(timing::Instant aNow);
  void AskNext(Search aSearch, timing::Instant aNow);
  void SendRelease(const ids::ProcessId& aHolder, const std::string& aPermit);

  ControlState& mState;
  Outbox& mOutbox;
  limits::PermitHolder& mHolder;
  std::uint64_t mLastNonce{ 0 };
  std::map<std::uint64_t, Search> mSearches;
  /// Holders of the permits that came from another entry.
  std::map<std::string, ids::ProcessId> mOrigins;
};

}

#endif
