#include "apps/samphiresail/entry/operationrun.hpp"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "apps/samphiresail/entry/agentlink.hpp"
#include "apps/samphiresail/entry/apierror.hpp"
#include "apps/samphiresail/entry/attemptrun.hpp"
#include "apps/samphiresail/entry/authentication.hpp"
#include "apps/samphiresail/entry/endpointchoice.hpp"
#include "apps/samphiresail/entry/entrytelemetry.hpp"
#include "apps/samphiresail/entry/identifiers.hpp"
#include "apps/samphiresail/entry/refusals.hpp"
#include "apps/samphiresail/entry/routingsnapshot.hpp"
#include "apps/samphiresail/entry/sharedstate.hpp"
#include "apps/samphiresail/entry/submitbuilder.hpp"
#include "components/store/storekeys.hpp"

namespace samphiresail::entry {

namespace {

constexpr std::chrono::seconds kUnreachablePause{ 2 };
/// Time within which an agent answers a tombstone.
constexpr std::chrono::milliseconds kTombstoneTimeout{ 1500 };
/// Pause before an attempt that is under way elsewhere is asked for again.
constexpr std::chrono::milliseconds kBusyPause{ 100 };
constexpr std::chrono::milliseconds kRefusedPause{ 20 };
constexpr std::uint32_t kMaxRefusals = 8;

std::string RecordKey(const CallerRequest& aRequest)
{
  if (aRequest.mIdempotencyKey.empty()) {
    return {};
  }
  return store::kOperationPrefix + aRequest.mAccount.Str() + "/" +
         aRequest.mService.Str() + "/" + HexText(DigestText(aRequest.mIdempotencyKey));
}

}

OperationRun::OperationRun(EntryContext& aContext,
                           CallerRequest aRequest,
                           AdmissionCharge aCharge)
  : mContext(aContext)
  , mRequest(std::move(aRequest))
  , mCharge(std::move(aCharge))
  , mDeadline(aContext.mClock.Now() + mRequest.mDeadline)
  , mKey(RecordKey(mRequest))
  , mDigest(
      DigestText(mRequest.mMethod + "\n" + mRequest.mTarget + "\n" + mRequest.mBody))
{
}

Answer OperationRun::Run()
{
  try {
    return RunAttempts();
  } catch (ApiError& error) {
    if (error.RequestOutcome() == Outcome::NotRun && !ReleaseRecord()) {
      error.WithOutcome(Outcome::Unknown);
    }
    throw;
  }
}

bool OperationRun::ReleaseRecord()
{
#ifndef SAMPHIRESAIL_MUTANT_OPERATION_RELEASE
  if (mHasLostWrite) {
    return false;
  }
  return !mHasRecord ||
         mContext.mOperations.Remove(mKey, mRevision).mState == WriteState::Written;
#else
  return true;
#endif
}

Answer OperationRun::RunAttempts()
{
  while (true) {
    try {
      ChooseAttempt();
    } catch (const ApiError&) {
      mCharge.SettleUnused();
      throw;
    }
    if (IsRecorded()) {
      if (auto answer = Claim()) {
        return *std::move(answer);
      }
    }
    if (auto answer = Dispatch()) {
      return *std::move(answer);
    }
  }
}

void OperationRun::ChooseAttempt()
{
  CheckDispatch(mContext, mRequest);
  mEndpoint = ChooseEndpoint(mContext, mRequest, mExcluded, mDeadline);
  mAttempt = ids::AttemptId(MakeIdentifier("att-"));
}

wire::OperationRecord OperationRun::MakeRecord(wire::OperationRecord::State aState) const
{
  wire::OperationRecord record;
  record.set_attempt_id(mAttempt.Str());
  record.set_endpoint(mEndpoint.mName.Str());
  record.set_agent_incarnation(mEndpoint.mIncarnation.Count());
  record.set_body_digest(mDigest);
  record.set_state(aState);
  return record;
}

std::optional<Answer> OperationRun::Claim()
{
  while (true) {
    const WriteResult written = mContext.mOperations.Write(
      mKey, mRevision, MakeRecord(wire::OperationRecord::PENDING));
    if (written.mState == WriteState::Written) {
      mRevision = written.mRevision;
      mHasRecord = true;
      return std::nullopt;
    }
    if (written.mState == WriteState::Unavailable) {
      mHasLostWrite = mHasLostWrite || written.mMayTakeEffect;
      mCharge.SettleUnused();
      throw ApiError(ApiErrorType::StoreUnavailable,
                     "calls that run at most once need the platform's store, which does "
                     "not answer")
        .WithRetryAfter(std::chrono::seconds(1));
    }
    if (auto answer = ResolveExisting(written)) {
      mCharge.SettleUnused();
      return answer;
    }
    mRevision = written.mRevision;
  }
}

std::optional<Answer> OperationRun::ResolveExisting(const WriteResult& aFound)
{
  const wire::OperationRecord& record = aFound.mRecord;
  if (aFound.mRevision == 0) {
    // The record has expired between the write and the read.
    return std::nullopt;
  }
  if (record.body_digest() != mDigest) {
    mCharge.SettleUnused();
    throw ApiError(ApiErrorType::IdempotencyKeyReused,
                   "the idempotency key was used for another request");
  }
  if (record.state() == wire::OperationRecord::DONE) {
    return Answer{ static_cast<int>(record.http_status()),
                   record.content_type(),
                   record.answer() };
  }
  if (record.state() == wire::OperationRecord::UNKNOWN) {
    FailUnknown("the outcome of the call with this idempotency key is not known", false);
  }
  return AskEarlierAgent(record);
}

std::optional<wire::TombstoneReply> OperationRun::AskTombstone(
  const wire::OperationRecord& aRecord,
  const transport::PeerAddress& aAddress)
{
  wire::Tombstone question;
  question.set_attempt_id(aRecord.attempt_id());
  question.set_agent_incarnation(aRecord.agent_incarnation());
  const auto channel = std::make_shared<AttemptChannel>();
  mContext.mAgents.AskTombstone(question, aAddress, channel);
  const auto event = channel->Pop(kTombstoneTimeout);
  mContext.mAgents.EndTombstone(ids::AttemptId(aRecord.attempt_id()), channel.get());
  if (!event || !std::holds_alternative<wire::TombstoneReply>(*event)) {
    return std::nullopt;
  }
  return std::get<wire::TombstoneReply>(*event);
}

std::optional<Answer> OperationRun::AskEarlierAgent(const wire::OperationRecord& aRecord)
{
  while (true) {
    // Also the agent of an endpoint that takes no new work can tell what became of the
    // call.
    const SnapshotPointer snapshot = mContext.mState.Snapshot();
    const AgentRow* agent = snapshot->FindAgent(ids::EndpointId(aRecord.endpoint()));
    if (agent == nullptr || agent->mIncarnation.Count() != aRecord.agent_incarnation()) {
      FailUnknown("the agent that took the call has gone", false);
    }
    const auto reply = AskTombstone(aRecord, agent->mAddress);
    if (!reply || reply->agent_incarnation() != aRecord.agent_incarnation()) {
      FailUnknown("the agent that took the call does not answer", false);
    }
    if (reply->finished()) {
      return Answer{ static_cast<int>(reply->http_status()),
                     reply->content_type(),
                     reply->answer() };
    }
    if (reply->not_run()) {
      // The earlier attempt will never run, so its record may be replaced.
      return std::nullopt;
    }
    if (mContext.mClock.Now() >= mDeadline) {
      mCharge.SettleUnused();
      throw ApiError(ApiErrorType::OperationInProgress,
                     "a call with this idempotency key is under way")
        .WithOutcome(Outcome::Unknown)
        .WithRetryAfter(std::chrono::seconds(1));
    }
    std::this_thread::sleep_for(kBusyPause);
  }
}

std::optional<Answer> OperationRun::Dispatch()
{
  const SnapshotPointer snapshot = CheckDispatch(mContext, mRequest);
  AttemptRun run(
    mContext, mEndpoint, BuildSubmit(mRequest, mAttempt, snapshot->Version()), mDeadline);
  std::string body;
  while (true) {
    AttemptStep step = run.Next();
    if (auto* chunk = std::get_if<AttemptChunk>(&step)) {
      body += chunk->mData;
    } else if (const auto* completed = std::get_if<AttemptCompleted>(&step)) {
      return OnCompleted(completed->mComplete, std::move(body));
    } else if (const auto* refused = std::get_if<AttemptRefused>(&step)) {
      if (refused->mRefuse.reason() == wire::STALE_CONFIGURATION) {
        AwaitNewerConfiguration(mContext, run.ConfigurationVersion(), mDeadline);
      }
      OnRefused(refused->mRefuse);
      return std::nullopt;
    } else if (std::holds_alternative<AttemptNotSent>(step)) {
      OnNotSent();
      return std::nullopt;
    } else if (std::holds_alternative<AttemptLost>(step)) {
      FailUnknown("the endpoint was lost while the call ran", false);
    } else if (std::holds_alternative<AttemptDeadline>(step)) {
      FailUnknown("the deadline has passed while the call ran", false);
    }
  }
}

Answer OperationRun::OnCompleted(const wire::Complete& aComplete, std::string aBody)
{
  if (aComplete.state() != wire::COMPLETED) {
    FailUnknown("the back end was lost while the call ran", true);
  }
  mCharge.SettleUsed(mRequest.Cost());
  Answer answer{ static_cast<int>(aComplete.http_status()),
                 aComplete.content_type(),
                 std::move(aBody) };
  RecordDone(answer);
  return answer;
}

void OperationRun::RecordDone(const Answer& aAnswer)
{
  if (!IsRecorded()) {
    return;
  }
  wire::OperationRecord record = MakeRecord(wire::OperationRecord::DONE);
  record.set_http_status(static_cast<std::uint32_t>(aAnswer.mStatus));
  record.set_content_type(aAnswer.mContentType);
  record.set_answer(aAnswer.mBody);
  // If this write fails, a repeated call gets the answer from the agent.
  mContext.mOperations.Write(mKey, mRevision, record);
}

void OperationRun::FailUnknown(const std::string& aMessage, bool aRecord)
{
  NoteFailure("outcome_unknown");
  if (aRecord && IsRecorded()) {
    mContext.mOperations.Write(
      mKey, mRevision, MakeRecord(wire::OperationRecord::UNKNOWN));
  }
  throw ApiError(ApiErrorType::OutcomeUnknown, aMessage);
}

void OperationRun::NoteFailure(std::string_view aReason)
{
  mContext.mTelemetry.OnAttemptFailed(mRequest.Summary(), mEndpoint.mName, aReason);
}

void OperationRun::OnRefused(const wire::Refuse& aRefuse)
{
  NoteFailure(wire::RefuseReason_Name(aRefuse.reason()));
  const retry::Failure failure = ClassifyRefusal(aRefuse.reason());
  if (failure != retry::Failure::Stale) {
    mExcluded.push_back(mEndpoint.mName);
  }
  if (failure == retry::Failure::Final || ++mRefusals > kMaxRefusals) {
    mCharge.SettleUnused();
    throw ApiError(ApiErrorType::Overloaded, "no endpoint took the call")
      .WithRetryAfter(std::chrono::seconds(1));
  }
  std::this_thread::sleep_for(
    failure == retry::Failure::Stale ? std::chrono::milliseconds(0) : kRefusedPause);
}

void OperationRun::OnNotSent()
{
  NoteFailure("not_sent");
  mContext.mEndpoints.MarkUnreachable(mEndpoint.mName,
                                      mContext.mClock.Now() + kUnreachablePause);
  mExcluded.push_back(mEndpoint.mName);
}

}
