#include "apps/samphiresail/agent/attemptmessages.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "apps/samphiresail/agent/enginebody.hpp"

namespace samphiresail::agent {

namespace {

using attempts::Attempt;
using attempts::AttemptEnd;
using catalogue::RequestClass;

/// Time limit of an attempt that names none.
constexpr std::chrono::minutes kDefaultDeadline{ 10 };

RequestClass ReadClass(wire::RequestClass aClass)
{
  switch (aClass) {
    case wire::URGENT:
      return RequestClass::Urgent;
    case wire::SHORT:
      return RequestClass::Short;
    case wire::IRREVERSIBLE:
      return RequestClass::Irreversible;
    case wire::BATCH:
      return RequestClass::Batch;
    default:
      return RequestClass::Streamed;
  }
}

attempts::BackendCall MakeCall(wire::Submit& aSubmit)
{
  attempts::BackendCall call;
  call.mMethod = aSubmit.method().empty() ? "POST" : aSubmit.method();
  call.mPath = aSubmit.path();
  call.mContentType = aSubmit.content_type();
  call.mStream = aSubmit.stream();
  call.mIrreversible = aSubmit.request_class() == wire::IRREVERSIBLE;
  call.mBody = std::move(*aSubmit.mutable_body());
  if (!aSubmit.model().empty()) {
    call.mBody = PrepareEngineBody(
      call.mBody,
      { .mMaxOutput =
          units::Tokens(static_cast<std::int64_t>(aSubmit.max_output_tokens())),
        .mStream = aSubmit.stream(),
        .mResumeText = std::move(*aSubmit.mutable_resume_text()),
        .mResumeTokens =
          units::Tokens(static_cast<std::int64_t>(aSubmit.resume_tokens())) });
  }
  return call;
}

template<typename Message>
void SetIds(Message& aMessage, const Attempt& aAttempt)
{
  aMessage.set_request_id(aAttempt.mRequest.Str());
  aMessage.set_attempt_id(aAttempt.mId.Str());
}

wire::CompletionState WriteEnd(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Answered:
      return wire::COMPLETED;
    case AttemptEnd::Cancelled:
      return wire::CANCELLED;
    default:
      return wire::FAILED_UNKNOWN;
  }
}

}

Attempt MakeAttempt(wire::Submit aSubmit, timing::Instant aNow)
{
  Attempt attempt;
  attempt.mId = ids::AttemptId(aSubmit.attempt_id());
  attempt.mRequest = ids::RequestId(aSubmit.request_id());
  attempt.mAccount = ids::ClientAccountId(aSubmit.client_account());
  attempt.mModel = ids::ModelId(aSubmit.model());
  attempt.mClass = ReadClass(aSubmit.request_class());
  attempt.mWeight = std::max<std::uint32_t>(aSubmit.account_weight(), 1);
  attempt.mCost = units::Tokens(
    static_cast<std::int64_t>(aSubmit.prompt_tokens() + aSubmit.max_output_tokens()));
  const auto deadline = aSubmit.deadline_ms() == 0
                          ? timing::Duration(kDefaultDeadline)
                          : std::chrono::milliseconds(aSubmit.deadline_ms());
  attempt.mDeadline = aNow + deadline;
  attempt.mSentAt = aNow;
  attempt.mCall = MakeCall(aSubmit);
  return attempt;
}

void NoteEnd(Attempt& aAttempt, const BackendDone& aDone)
{
  if (aDone.mHttpStatus != 0) {
    aAttempt.mHttpStatus = aDone.mHttpStatus;
    aAttempt.mContentType = aDone.mContentType;
  }
  aAttempt.mPromptTokens = aDone.mPromptTokens;
  aAttempt.mOutputTokens = aDone.mOutputTokens;
}

wire::Envelope MakeAcknowledge(const Attempt& aAttempt)
{
  wire::Envelope envelope;
  SetIds(*envelope.mutable_acknowledge(), aAttempt);
  return envelope;
}

wire::Envelope MakeChunk(const Attempt& aAttempt, std::uint64_t aSequence)
{
  wire::Envelope envelope;
  wire::Chunk& chunk = *envelope.mutable_chunk();
  SetIds(chunk, aAttempt);
  chunk.set_sequence(aSequence);
  chunk.set_data(aAttempt.mAnswer.At(aSequence));
  if (aSequence == 0) {
    chunk.set_http_status(static_cast<std::uint32_t>(aAttempt.mHttpStatus));
    chunk.set_content_type(aAttempt.mContentType);
  }
  return envelope;
}

wire::Envelope MakeComplete(const Attempt& aAttempt)
{
  wire::Envelope envelope;
  wire::Complete& complete = *envelope.mutable_complete();
  SetIds(complete, aAttempt);
  complete.set_state(WriteEnd(aAttempt.mEnd));
  complete.set_http_status(static_cast<std::uint32_t>(aAttempt.mHttpStatus));
  complete.set_content_type(aAttempt.mContentType);
  complete.set_chunk_count(aAttempt.mAnswer.Count());
  wire::Usage& usage = *complete.mutable_usage();
  usage.set_prompt_tokens(static_cast<std::uint64_t>(aAttempt.mPromptTokens.Count()));
  usage.set_output_tokens(static_cast<std::uint64_t>(aAttempt.mOutputTokens.Count()));
  return envelope;
}

wire::Envelope MakeProgress(const Attempt& aAttempt)
{
  wire::Envelope envelope;
  wire::Progress& progress = *envelope.mutable_progress();
  SetIds(progress, aAttempt);
  progress.set_started(aAttempt.mPhase == attempts::AttemptPhase::Running);
  return envelope;
}

wire::Envelope MakeUnknownComplete(const std::string& aRequestId,
                                   const std::string& aAttemptId)
{
  wire::Envelope envelope;
  wire::Complete& complete = *envelope.mutable_complete();
  complete.set_request_id(aRequestId);
  complete.set_attempt_id(aAttemptId);
  complete.set_state(wire::FAILED_UNKNOWN);
  return envelope;
}

}
