#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_STOPSCHEDULE_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_STOPSCHEDULE_HPP

#include "components/gateway/enginemodel.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// What is known of a request before it is sent.
struct ExpectedRun
{
  /// Time that the request takes at an idle endpoint at least; 0 if it is not known.
  Milliseconds mRun{ 0 };
  /// Longest wait before it runs; if that is not known, its route's target latency.
  Milliseconds mTarget{ 0 };
  /// The request may run more than once.
  bool mRetryable{ false };
  /// When its caller or its route ends it anyway.
  timing::Instant mDeadline{};
};

/// Workload: a planned stop of one process under ordinary traffic, in which no request
/// may be lost. The load balancer notices the stop only after two failed probes, a second
/// apart, and connections that are open stay; the process is killed at the end of the
/// grace period. All times are derived from the signal and the grace period.
class StopSchedule
{
public:
  /// aSignal is when the signal came, aGrace the time from it until the process is
  /// killed.
  StopSchedule(timing::Instant aSignal, timing::Duration aGrace);

  /// From this instant on, the load balancer sends new connections elsewhere.
  timing::Instant NoticedAt() const { return mNoticedAt; }
  /// New requests are refused from this instant on.
  timing::Instant RefuseFrom() const { return mRefuseFrom; }
  /// Connections that are idle at this instant are closed.
  timing::Instant IdleUntil() const { return mIdleUntil; }
  /// The process stays until this instant even if nothing is left to answer.
  timing::Instant StayUntil() const { return mStayUntil; }
  /// Everything that was admitted has its response by this instant.
  timing::Instant AnswerBy() const { return mAnswerBy; }
  /// The process ends at this instant, whatever is left.
  timing::Instant EndBy() const { return mEndBy; }

  /// Returns false if an attempt that began now would surely not end by AnswerBy(). A
  /// forecast counts for irreversible requests only: what may be repeated goes on at
  /// another entry if it is cut, often from its last event.
  bool MayBegin(const ExpectedRun& aRun, timing::Instant aNow) const;

private:
  timing::Instant mNoticedAt;
  timing::Instant mRefuseFrom;
  timing::Instant mIdleUntil;
  timing::Instant mStayUntil;
  timing::Instant mAnswerBy;
  timing::Instant mEndBy;
};

}

#endif
