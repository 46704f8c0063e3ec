#include "components/frontend/plannedstop.hpp"

namespace samphiresail::frontend {

namespace {

using std::chrono::milliseconds;

/// How long requests are still accepted after the stop signal: the load balancer stops
/// sending requests only after two failed probes, a second apart.
constexpr milliseconds kStopAcceptTime{ 3000 };
/// How long idle connections are kept after the stop signal, for callers that reuse them.
constexpr milliseconds kStopIdleTime{ 2600 };
/// A stopping process ends the requests that are still running this long before the
/// platform kills it.
constexpr milliseconds kForcedStopMargin{ 500 };

}

bool PlannedStop::Begin(timing::Instant aNow, timing::Duration aGrace)
{
  if (Begun()) {
    return false;
  }
  mBeganAt = aNow;
  mGrace = aGrace;
  mCallers.Drain(aNow + kStopIdleTime);
  mContext.mControl.RefuseFrom(aNow + kStopAcceptTime);
  return true;
}

bool PlannedStop::IsOver(timing::Instant aNow) const
{
  if (!Begun()) {
    return false;
  }
  const timing::Duration since = aNow - mBeganAt;
  const bool drained = since >= kStopAcceptTime && mContext.mExchanges.Size() == 0;
  return drained || since >= mGrace - kForcedStopMargin;
}

}
