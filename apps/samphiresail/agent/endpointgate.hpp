#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_ENDPOINTGATE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_ENDPOINTGATE_HPP

#include <cstdint>
#include <optional>

#include "apps/samphiresail/agent/agentactions.hpp"
#include "components/catalogue/catalogue.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::agent {

/// Limits the work at the back end. The back end counts as cold unless a recent health
/// answer says that it is ready and no sign of a restart was seen within the pool's cold
/// duration; the agent's own start counts as such a sign.
class EndpointGate
{
public:
  explicit EndpointGate(timing::Instant aStart);

  /// Takes the limits of the pool.
  void Configure(const catalogue::EndpointPool& aPool);
  bool IsConfigured() const { return mPool.has_value(); }

  void OnHealth(const HealthAnswer& aAnswer, timing::Instant aNow);

  /// Takes note of a connection that the back end broke.
  void OnBroken(timing::Instant aNow);

  /// Takes note of a back end that accepts no connection.
  void OnUnreachable(timing::Instant aNow);

  /// Returns true if a health query is due, and counts it as sent.
  bool TakeHealthQuery(timing::Instant aNow);

  bool IsCold(timing::Instant aNow) const;
  bool IsDown() const { return mDown; }

  /// Requests that the back end may have in flight now.
  std::uint32_t InFlightLimit(timing::Instant aNow) const;

  /// Requests that may wait now.
  std::uint32_t QueueLimit(timing::Instant aNow) const;

private:
  bool HasColdStart() const;

  std::optional<catalogue::EndpointPool> mPool;
  timing::Instant mLastRestart;
  timing::Instant mReadyAskedAt;
  timing::Instant mQueriedAt;
  bool mQueryPending{ false };
  bool mReportedCold{ false };
  bool mDown{ false };
};

}

#endif
