#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_WAITPOLICY_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_WAITPOLICY_HPP

#include "components/gateway/enginemodel.hpp"

namespace samphiresail::gateway {

/// How urgent a request to an engine is at one moment.
struct RequestUrgency
{
  /// Target latency of the request's route.
  Milliseconds mTarget{ 0 };
  /// The shortest target latency of all routes to the service.
  Milliseconds mTightestTarget{ 0 };
  /// Position of the request's route among the routes of the service that cannot wait:
  /// 0 for the most urgent one.
  unsigned mRank{ 0 };
  /// The target latency leaves time to wait.
  bool mLatencyTolerant{ false };
  /// The response has begun and is continued at another engine.
  bool mBegun{ false };
  /// The client account uses more than its fair share of engines that are short.
  bool mOverShare{ false };
  /// The caller was refused before and came back.
  bool mReturned{ false };
  /// Time since the caller's first attempt.
  Milliseconds mElapsed{ 0 };
  /// Time since the request arrived at this entry.
  Milliseconds mWaited{ 0 };
  /// Time until the caller stops waiting.
  Milliseconds mTimeLeft{ 0 };
};

/// How long a request may wait.
struct WaitAllowance
{
  /// Longest wait at an engine before its prompt is read; it is not sent to an engine
  /// that makes it wait longer.
  Milliseconds mAtEngine{ 0 };
  /// Longest wait at this entry until some engine can take it, since it arrived.
  Milliseconds mAtEntry{ 0 };
  /// How much shorter the wait at an engine is than that of the most urgent requests,
  /// however much of its target latency has passed. The request leaves the memory that
  /// becomes free within this time to them.
  Milliseconds mBehind{ 0 };
};

/// Workload: more requests than the engines of a model can read. What an engine has
/// queued delays everything that comes after it, so less urgent requests are only sent
/// while the queue is short, which keeps room for more urgent ones; what is not sent
/// waits at the entry while it can still be served, and is refused after that. Callers
/// that come back after a refusal go ahead of new ones of their kind. aRead is the time
/// to read the request's own prompt.
WaitAllowance AllowedWait(const RequestUrgency& aUrgency, Milliseconds aRead);

/// The alternative that experiments compare with: every request waits as long as its
/// target latency, whatever else is waiting.
WaitAllowance AllowedWaitWithoutUrgency(const RequestUrgency& aUrgency);

}

#endif
