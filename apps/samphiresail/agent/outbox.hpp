#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_OUTBOX_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_OUTBOX_HPP

#include <string>
#include <utility>

#include "apps/samphiresail/agent/agentactions.hpp"

namespace samphiresail::agent {

/// Collects the actions that one input of the core leads to.
class Outbox
{
public:
  void Push(Action aAction) { mActions.push_back(std::move(aAction)); }

  void Record(std::string aKind, std::string aDetail)
  {
    Push(RecordEvent{ std::move(aKind), {}, {}, std::move(aDetail) });
  }

  void Record(std::string aKind, const attempts::Attempt& aAttempt, std::string aDetail)
  {
    Push(RecordEvent{
      std::move(aKind), aAttempt.mRequest, aAttempt.mAccount, std::move(aDetail) });
  }

  /// Queues a store call and returns its number.
  StoreCallId Call(store::StoreRequest aRequest)
  {
    Push(CallStore{ ++mLastCall, std::move(aRequest) });
    return mLastCall;
  }

  Actions Take() { return std::exchange(mActions, {}); }

private:
  Actions mActions;
  StoreCallId mLastCall{ 0 };
};

}

#endif
