#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_ACCEPTANCE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_ACCEPTANCE_HPP

#include <chrono>

#include "apps/samphiresail/operator/fleetclient.hpp"
#include "components/membership/roster.hpp"
#include "components/store/etcdstore.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::operators {

/// Who of the roster's electors holds a version of the configuration.
struct Acknowledgements
{
  std::size_t mElectors{ 0 };
  std::size_t mHolding{ 0 };
  /// True if those who hold it are a quorum of the roster.
  bool mAccepted{ false };
};

/// Counts the electors that answered with at least the version. An answer of another
/// incarnation than the roster's does not count: that process has forgotten what it
/// acknowledged.
Acknowledgements CountAcknowledgements(const membership::Roster& aRoster,
                                       const FleetClient::Answers& aAnswers,
                                       units::Version aVersion);

struct AcceptanceResult
{
  bool mAccepted{ false };
  Acknowledgements mLast;
  /// True if no entry is registered, so that nobody has to acknowledge.
  bool mNoEntries{ false };
  std::chrono::milliseconds mElapsed{ 0 };
};

/// Polls the roster until a quorum holds the version or the time is over.
AcceptanceResult AwaitAcceptance(store::EtcdStore& aStore,
                                 const settings::CurveSettings& aCurve,
                                 units::Version aVersion,
                                 std::chrono::milliseconds aStoreTimeout,
                                 std::chrono::milliseconds aTimeout);

}

#endif
