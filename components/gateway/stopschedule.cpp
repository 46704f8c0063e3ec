#include "components/gateway/stopschedule.hpp"

#include <algorithm>

namespace samphiresail::gateway {

namespace {

using std::chrono::milliseconds;

/// Time of two probes a second apart, and of their answers.
constexpr milliseconds kNoticeTime{ 2100 };
/// Longest time for which new requests are admitted: the load balancer needs up to two
/// seconds and the time of a probe, and callers whose request is sent within three
/// seconds are owed an answer.
constexpr milliseconds kMaxAdmitTime{ 2800 };
/// The same as a part of the grace period.
constexpr double kAdmitFraction = 0.35;
/// Time by which idle connections are closed before the last request is admitted, and for
/// which the process stays after that, at most and as a part of the grace period.
constexpr milliseconds kMaxMargin{ 200 };
constexpr double kMarginFraction = 0.025;
/// Time before the end of the grace period by which everything is answered, at most and
/// as a part of it. Requests that run into the last sixth of it are not cut sooner.
constexpr milliseconds kMaxAnswerMargin{ 600 };
constexpr double kAnswerMarginFraction = 0.075;
/// The same for the end of the process: between both, responses are written.
constexpr milliseconds kMaxEndMargin{ 400 };
constexpr double kEndMarginFraction = 0.05;
/// Time that an attempt takes at least, with its connection.
constexpr Milliseconds kMinRun{ 200.0 };

timing::Duration Part(timing::Duration aGrace, double aFraction, timing::Duration aMost)
{
  return std::min(std::chrono::duration_cast<timing::Duration>(aGrace * aFraction),
                  aMost);
}

}

StopSchedule::StopSchedule(timing::Instant aSignal, timing::Duration aGrace)
  : mNoticedAt(aSignal + kNoticeTime)
  , mRefuseFrom(aSignal + Part(aGrace, kAdmitFraction, kMaxAdmitTime))
  , mIdleUntil(mRefuseFrom - Part(aGrace, kMarginFraction, kMaxMargin))
  , mStayUntil(mRefuseFrom + Part(aGrace, kMarginFraction, kMaxMargin))
  , mAnswerBy(aSignal + aGrace - Part(aGrace, kAnswerMarginFraction, kMaxAnswerMargin))
  , mEndBy(aSignal + aGrace - Part(aGrace, kEndMarginFraction, kMaxEndMargin))
{
}

bool StopSchedule::MayBegin(const ExpectedRun& aRun, timing::Instant aNow) const
{
  if (aRun.mDeadline <= mAnswerBy) {
    return true;
  }
  const Milliseconds needed =
    aRun.mRetryable ? kMinRun : std::max(aRun.mTarget + aRun.mRun, kMinRun);
  return ToMilliseconds(mAnswerBy - aNow) >= needed;
}

}
