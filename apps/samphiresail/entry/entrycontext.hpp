#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENTRYCONTEXT_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENTRYCONTEXT_HPP

#include "components/settings/processsettings.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::limits {
class CreditPool;
}

namespace samphiresail::retry {
class RetryBudget;
}

namespace samphiresail::routing {
class EndpointTable;
}

namespace samphiresail::entry {

class AgentLink;
class EntryTelemetry;
class LoadOnDemand;
class OperationLog;
class SharedState;

/// Parts of an entry that the traffic threads use. All of them outlive the traffic
/// threads and may be used from any thread.
struct EntryContext
{
  const settings::EntrySettings& mSettings;
  units::Incarnation mIncarnation;
  const timing::Clock& mClock;
  SharedState& mState;
  limits::CreditPool& mCredit;
  retry::RetryBudget& mRetries;
  routing::EndpointTable& mEndpoints;
  AgentLink& mAgents;
  OperationLog& mOperations;
  LoadOnDemand& mLoads;
  EntryTelemetry& mTelemetry;
};

}

#endif
