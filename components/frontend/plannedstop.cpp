#include "components/frontend/plannedstop.hpp"

namespace samphiresail::frontend {

bool PlannedStop::Begin(timing::Instant aSignal, timing::Duration aGrace)
{
  if (Begun()) {
    return false;
  }
  mSchedule.emplace(aSignal, aGrace);
  mCallers.Drain(mSchedule->IdleUntil());
  mContext.mControl.Stop(*mSchedule);
  mContext.mExchanges.LimitDeadlines(mSchedule->AnswerBy());
  return true;
}

bool PlannedStop::IsOver(timing::Instant aNow) const
{
  if (!Begun()) {
    return false;
  }
  const bool drained = aNow >= mSchedule->StayUntil() &&
                       mContext.mExchanges.Size() == 0 && !mCallers.IsBusy(aNow);
  return drained || aNow >= mSchedule->EndBy();
}

}
