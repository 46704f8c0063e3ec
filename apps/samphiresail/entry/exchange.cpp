#include "apps/samphiresail/entry/exchange.hpp"

#include <algorithm>
#include <thread>
#include <utility>

#include "apps/samphiresail/entry/apierror.hpp"
#include "apps/samphiresail/entry/authentication.hpp"
#include "apps/samphiresail/entry/endpointchoice.hpp"
#include "apps/samphiresail/entry/entrytelemetry.hpp"
#include "apps/samphiresail/entry/identifiers.hpp"
#include "apps/samphiresail/entry/refusals.hpp"
#include "apps/samphiresail/entry/sharedstate.hpp"
#include "apps/samphiresail/entry/submitbuilder.hpp"
#include "components/retry/retrybudget.hpp"

namespace samphiresail::entry {

namespace {

/// Time for which an endpoint that could not be reached gets no new work from this entry.
constexpr std::chrono::seconds kUnreachablePause{ 2 };
constexpr int kStatusOk = 200;
/// A call that may run again is tried elsewhere if the back end answers from here on.
constexpr int kFirstServerError = 500;

}

Exchange::Exchange(EntryContext& aContext,
                   CallerRequest aRequest,
                   AdmissionCharge aCharge)
  : mContext(aContext)
  , mRequest(std::move(aRequest))
  , mCharge(std::move(aCharge))
  , mDeadline(aContext.mClock.Now() + mRequest.mDeadline)
{
  mContext.mRetries.RecordRequest(mRequest.mAccount, mContext.mClock.Now());
}

Exchange::~Exchange()
{
  if (!mMayHaveRun) {
    mCharge.SettleUnused();
  }
}

Answer Exchange::RunUnary()
{
  while (!mComplete) {
    if (Step()) {
      continue;
    }
  }
  return std::move(mAnswer);
}

std::optional<std::string> Exchange::NextPart()
{
  while (true) {
    // The answer of a back end that failed is held back, since another may still answer.
    if (!mAnswer.mBody.empty() && mAnswer.mStatus < kFirstServerError) {
      return std::exchange(mAnswer.mBody, {});
    }
    if (mComplete) {
      return std::nullopt;
    }
    Step();
  }
}

bool Exchange::Step()
{
  if (!mRun) {
    TryStartAttempt();
  }
  AttemptStep step = mRun->Next();
  if (const auto* chunk = std::get_if<AttemptChunk>(&step)) {
    OnChunk(*chunk);
    return true;
  }
  if (std::holds_alternative<AttemptWaiting>(step)) {
    CheckWhileWaiting();
  } else if (const auto* completed = std::get_if<AttemptCompleted>(&step)) {
    return OnCompleted(completed->mComplete);
  } else if (const auto* refused = std::get_if<AttemptRefused>(&step)) {
    OnRefused(refused->mRefuse);
  } else if (std::holds_alternative<AttemptNotSent>(step)) {
    OnNotSent();
  } else if (std::holds_alternative<AttemptLost>(step)) {
    OnBroken();
  } else {
    FailDeadline();
  }
  return false;
}

void Exchange::OnChunk(const AttemptChunk& aChunk)
{
  mMayHaveRun = true;
  CheckWhileWaiting();
  if (aChunk.mHttpStatus != 0) {
    mAnswer.mStatus = aChunk.mHttpStatus;
  }
  const bool isStream = mRequest.mStream && mAnswer.mStatus == kStatusOk;
  mAnswer.mBody += isStream ? mTranscript.Append(aChunk.mData) : aChunk.mData;
}

void Exchange::TryStartAttempt()
{
  try {
    StartAttempt();
  } catch (ApiError& error) {
    // That no further attempt can start says nothing about the earlier ones.
    if (mMayHaveRun) {
      error.WithOutcome(Outcome::Unknown);
    }
    throw;
  }
}

void Exchange::StartAttempt()
{
  const SnapshotPointer snapshot = CheckDispatch(mContext, mRequest);
  routing::EndpointDescription endpoint =
    ChooseEndpoint(mContext, mRequest, mExcluded, mDeadline);
  const ids::AttemptId attempt(MakeIdentifier("att-"));
  wire::Submit submit = BuildSubmit(mRequest, attempt, snapshot->Version());
  if (mRequest.mStream && !mTranscript.Text().empty()) {
    mTranscript.BeginContinuation();
    submit.set_resume_text(mTranscript.Text());
    submit.set_resume_tokens(static_cast<std::uint64_t>(mTranscript.Tokens().Count()));
  }
  mContext.mTelemetry.OnAttempt(mRequest.Summary(), endpoint.mName, attempt);
  mRun = std::make_unique<AttemptRun>(
    mContext, std::move(endpoint), std::move(submit), mDeadline);
}

void Exchange::CheckWhileWaiting()
{
  if (IsKeyWithdrawn(mContext, mRequest)) {
    throw ApiError(ApiErrorType::KeyWithdrawn, "the key was withdrawn")
      .WithOutcome(mMayHaveRun ? Outcome::Unknown : Outcome::NotRun);
  }
}

bool Exchange::OnCompleted(const wire::Complete& aComplete)
{
  mMayHaveRun = true;
  const auto status = static_cast<int>(aComplete.http_status());
  if (aComplete.state() != wire::COMPLETED || status >= kFirstServerError) {
    OnBroken();
    return false;
  }
  const auto used = static_cast<std::int64_t>(aComplete.usage().prompt_tokens() +
                                              aComplete.usage().output_tokens());
  if (used > 0) {
    mCharge.SettleUsed(units::Tokens(used));
  }
  mAnswer.mStatus = status;
  mAnswer.mContentType = aComplete.content_type();
  mComplete = true;
  mRun.reset();
  return true;
}

void Exchange::OnRefused(const wire::Refuse& aRefuse)
{
  const retry::Failure failure = ClassifyRefusal(aRefuse.reason());
  NoteFailure(wire::RefuseReason_Name(aRefuse.reason()));
  if (failure == retry::Failure::Final) {
    mRun.reset();
    FailDeadline();
  }
  if (failure != retry::Failure::Stale) {
    ExcludeEndpoint();
  }
  if (aRefuse.reason() == wire::STALE_CONFIGURATION) {
    AwaitNewerConfiguration(mContext, mRun->ConfigurationVersion(), mDeadline);
  }
  Retry(failure, std::chrono::milliseconds(aRefuse.retry_after_ms()));
}

void Exchange::NoteFailure(std::string_view aReason)
{
  mContext.mTelemetry.OnAttemptFailed(
    mRequest.Summary(), mRun->Endpoint().mName, aReason);
}

void Exchange::OnNotSent()
{
  NoteFailure("not_sent");
  LeaveEndpoint();
}

void Exchange::OnBroken()
{
  mMayHaveRun = true;
  NoteFailure("broken");
  LeaveEndpoint();
}

void Exchange::LeaveEndpoint()
{
  mContext.mEndpoints.MarkUnreachable(mRun->Endpoint().mName,
                                      mContext.mClock.Now() + kUnreachablePause);
  ExcludeEndpoint();
  Retry(retry::Failure::Elsewhere, std::chrono::milliseconds(0));
}

void Exchange::ExcludeEndpoint()
{
  mExcluded.push_back(mRun->Endpoint().mName);
}

void Exchange::Retry(retry::Failure aFailure, std::chrono::milliseconds aRetryAfter)
{
  mRun.reset();
  if (mRequest.mStream && mTranscript.IsFinished()) {
    // Everything but the closing events has reached the caller.
    mComplete = true;
    return;
  }
  if (!mRequest.mStream || mAnswer.mStatus != kStatusOk) {
    mAnswer = {};
  }
  const retry::RetryDecision decision =
    retry::DecideRetry(retry::RetryLimits{}, aFailure, mHistory, ThreadGenerator());
  const timing::Instant now = mContext.mClock.Now();
  const bool mayRetry = decision.mAction == retry::RetryAction::Resend ||
                        (decision.mAction == retry::RetryAction::TryElsewhere &&
                         mContext.mRetries.TrySpend(mRequest.mAccount, now));
  if (!mayRetry) {
    Fail(aFailure, aRetryAfter);
  }
  std::this_thread::sleep_for(decision.mDelay);
}

void Exchange::Fail(retry::Failure aFailure, std::chrono::milliseconds aRetryAfter)
{
  constexpr std::chrono::milliseconds kDefaultRetryAfter{ 1000 };
  const auto retryAfter = aRetryAfter.count() > 0 ? aRetryAfter : kDefaultRetryAfter;
  if (mMayHaveRun) {
    throw ApiError(ApiErrorType::OutcomeUnknown,
                   "the endpoint was lost while it answered")
      .WithRetryAfter(retryAfter);
  }
  if (aFailure == retry::Failure::Overload) {
    throw ApiError(ApiErrorType::Overloaded, "the endpoints have no room now")
      .WithRetryAfter(retryAfter);
  }
  throw ApiError(ApiErrorType::NoEndpoint, "no endpoint took the request")
    .WithRetryAfter(retryAfter);
}

void Exchange::FailDeadline()
{
  throw ApiError(ApiErrorType::DeadlineExceeded, "the deadline has passed")
    .WithOutcome(mMayHaveRun || mRun ? Outcome::Unknown : Outcome::NotRun);
}

}
