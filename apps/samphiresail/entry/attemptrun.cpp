#include "apps/samphiresail/entry/attemptrun.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "apps/samphiresail/entry/agentlink.hpp"
#include "apps/samphiresail/entry/endpointreports.hpp"
#include "components/functional/overloaded.hpp"

namespace samphiresail::entry {

namespace {

/// Time within which an agent acknowledges a submit.
constexpr std::chrono::milliseconds kAcknowledgeTimeout{ 400 };
/// Connections that may fall silent in a row before the agent counts as out of reach.
constexpr std::uint32_t kMaxSilences = 3;
constexpr std::chrono::milliseconds kWaitStep{ 500 };
constexpr std::chrono::milliseconds kResubmitPause{ 100 };

/// Refusals that a restarted agent also gives for an attempt that its former incarnation
/// ran.
bool IsAboutSender(wire::RefuseReason aReason)
{
  return aReason == wire::WRONG_INCARNATION || aReason == wire::STALE_TICKET ||
         aReason == wire::STALE_CONFIGURATION;
}

}

AttemptRun::AttemptRun(EntryContext& aContext,
                       routing::EndpointDescription aEndpoint,
                       wire::Submit aSubmit,
                       timing::Instant aDeadline)
  : mContext(aContext)
  , mEndpoint(std::move(aEndpoint))
  , mSubmit(std::move(aSubmit))
  , mDeadline(aDeadline)
  , mChannel(std::make_shared<AttemptChannel>())
  , mHeardAt(aContext.mClock.Now())
{
  mContext.mEndpoints.Begin(mEndpoint.mName, ids::ModelId(mSubmit.model()));
  mConnection = mContext.mAgents.Attach(
    ids::AttemptId(mSubmit.attempt_id()), mEndpoint.mAddress, mChannel);
  mSubmit.set_agent_incarnation(mEndpoint.mIncarnation.Count());
  SendSubmit();
}

AttemptRun::~AttemptRun()
{
  mContext.mEndpoints.End(mEndpoint.mName, ids::ModelId(mSubmit.model()));
  mContext.mAgents.Detach(ids::AttemptId(mSubmit.attempt_id()), mEndpoint.mAddress);
  if (!mFinished) {
    Cancel();
  }
}

void AttemptRun::SendSubmit()
{
  const timing::Instant now = mContext.mClock.Now();
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(mDeadline - now);
  mSubmit.set_deadline_ms(
    static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1)));
  mSubmit.set_ticket(mContext.mAgents.TicketOf(mEndpoint.mAddress));
  mSubmit.set_chunks_held(mChunksHeld);
  wire::Envelope envelope;
  *envelope.mutable_submit() = mSubmit;
  ++mSubmits;
  mHeardAt = now;
  mContext.mAgents.SendTo(mEndpoint.mAddress, std::move(envelope));
}

void AttemptRun::Cancel()
{
  mFinished = true;
  wire::Envelope envelope;
  envelope.mutable_cancel()->set_request_id(mSubmit.request_id());
  envelope.mutable_cancel()->set_attempt_id(mSubmit.attempt_id());
  envelope.mutable_cancel()->set_agent_incarnation(mSubmit.agent_incarnation());
  mContext.mAgents.SendTo(mEndpoint.mAddress, std::move(envelope));
}

AttemptStep AttemptRun::Next()
{
  const timing::Instant until = mContext.mClock.Now() + kWaitStep;
  while (true) {
    if (auto step = TakeBuffered()) {
      return *std::move(step);
    }
    const timing::Instant now = mContext.mClock.Now();
    if (now >= mDeadline) {
      return AttemptDeadline{};
    }
    const timing::Duration silence = mAcknowledged
                                       ? timing::Duration(mContext.mSettings.mSilence)
                                       : timing::Duration(kAcknowledgeTimeout);
    const timing::Instant silentAt = mHeardAt + silence;
    if (now >= silentAt) {
      if (auto step = OnSilence()) {
        return *std::move(step);
      }
      continue;
    }
    if (now >= until) {
      return AttemptWaiting{};
    }
    auto event = mChannel->Pop(std::min({ until, silentAt, mDeadline }) - now);
    if (!event) {
      continue;
    }
    if (auto step = OnEvent(*std::move(event))) {
      return *std::move(step);
    }
  }
}

std::optional<AttemptStep> AttemptRun::OnEvent(AttemptEvent aEvent)
{
  return std::visit(
    functional::Overloaded{
      [this](NotSentEvent) { return OnNotSent(); },
      [this](ReattachEvent aReattach) -> std::optional<AttemptStep> {
        mConnection = aReattach.mConnection;
        SendSubmit();
        return std::nullopt;
      },
      [this](wire::Refuse& aRefuse) { return OnRefuse(std::move(aRefuse)); },
      [this](wire::Chunk& aChunk) -> std::optional<AttemptStep> {
        mHeardAt = mContext.mClock.Now();
        mAcknowledged = true;
        mSilences = 0;
        if (aChunk.sequence() >= mChunksHeld) {
          mEarlyChunks[aChunk.sequence()] = { std::move(*aChunk.mutable_data()),
                                              static_cast<int>(aChunk.http_status()) };
        }
        return std::nullopt;
      },
      [this](wire::Complete& aComplete) -> std::optional<AttemptStep> {
        mHeardAt = mContext.mClock.Now();
        mComplete = std::move(aComplete);
        return std::nullopt;
      },
      [this](const auto&) -> std::optional<AttemptStep> {
        mHeardAt = mContext.mClock.Now();
        mAcknowledged = true;
        mSilences = 0;
        return std::nullopt;
      } },
    aEvent);
}

std::optional<AttemptStep> AttemptRun::TakeBuffered()
{
  const auto it = mEarlyChunks.find(mChunksHeld);
  if (it != mEarlyChunks.end()) {
    AttemptChunk chunk = std::move(it->second);
    mEarlyChunks.erase(it);
    ++mChunksHeld;
    return chunk;
  }
  if (mComplete && mComplete->chunk_count() <= mChunksHeld) {
    return Finish();
  }
  return std::nullopt;
}

AttemptStep AttemptRun::Finish()
{
  mFinished = true;
  ReportLoad(mComplete->load());
  wire::Envelope envelope;
  wire::ChunkReceipt* receipt = envelope.mutable_chunk_receipt();
  receipt->set_request_id(mSubmit.request_id());
  receipt->set_attempt_id(mSubmit.attempt_id());
  receipt->set_chunks_held(mChunksHeld);
  receipt->set_complete(true);
  mContext.mAgents.SendTo(mEndpoint.mAddress, std::move(envelope));
  return AttemptCompleted{ *std::move(mComplete) };
}

std::optional<AttemptStep> AttemptRun::OnRefuse(wire::Refuse aRefuse)
{
  mFinished = true;
  if (aRefuse.has_load()) {
    ReportLoad(aRefuse.load());
  }
  if (mSubmits > 1 && IsAboutSender(aRefuse.reason())) {
    return AttemptLost{};
  }
  return AttemptRefused{ std::move(aRefuse) };
}

std::optional<AttemptStep> AttemptRun::OnNotSent()
{
  if (mSubmits == 1) {
    mFinished = true;
    return AttemptNotSent{};
  }
  return OnSilence();
}

std::optional<AttemptStep> AttemptRun::OnSilence()
{
  if (++mSilences > kMaxSilences) {
    mFinished = true;
    return AttemptLost{};
  }
  // All attempts on the connection get a ReattachEvent, this one included.
  mContext.mAgents.ReopenConnection(mEndpoint.mAddress, mConnection);
  mHeardAt = mContext.mClock.Now() + kResubmitPause;
  return std::nullopt;
}

void AttemptRun::ReportLoad(const wire::Load& aLoad)
{
  mContext.mEndpoints.ReportLoad(mEndpoint.mName, ReadLoad(aLoad), mContext.mClock.Now());
}

}
