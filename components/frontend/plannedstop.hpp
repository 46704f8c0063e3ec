#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_PLANNEDSTOP_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_PLANNEDSTOP_HPP

#include "components/frontend/listener.hpp"

namespace samphiresail::frontend {

/// Planned stop of a process that serves callers: what happens from the signal to stop
/// until the process ends.
class PlannedStop
{
public:
  PlannedStop(FrontendContext& aContext, CallerListener& aCallers)
    : mContext(aContext)
    , mCallers(aCallers)
  {
  }

  /// Begins the stop of a process that is killed aGrace after the signal came. Only the
  /// first call has an effect; it returns true.
  bool Begin(timing::Instant aSignal, timing::Duration aGrace);
  bool Begun() const { return mSchedule.has_value(); }
  /// Returns true if the process should end now.
  bool IsOver(timing::Instant aNow) const;

private:
  FrontendContext& mContext;
  CallerListener& mCallers;
  std::optional<gateway::StopSchedule> mSchedule;
};

}

#endif
