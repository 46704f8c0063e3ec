#ifndef SAMPHIRESAIL_COMPONENTS_ATTEMPTS_ATTEMPT_HPP
#define SAMPHIRESAIL_COMPONENTS_ATTEMPTS_ATTEMPT_HPP

#include <cstdint>
#include <string>

#include "components/attempts/responsebuffer.hpp"
#include "components/catalogue/catalogue.hpp"
#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::attempts {

enum class AttemptPhase
{
  /// Accepted; no byte of it was sent to the back end.
  Queued,
  /// Being sent to or run by the back end.
  Running,
  /// Ended; the response is kept until it is confirmed or its retention time has passed.
  Finished,
};

/// HTTP call sent to the back end for an attempt.
struct BackendCall
{
  std::string mMethod;
  std::string mPath;
  std::string mContentType;
  std::string mBody;
  bool mStream{ false };
  /// True if the call must run at most once.
  bool mIrreversible{ false };
};

/// How an attempt that was sent to the back end ended.
enum class AttemptEnd
{
  /// The back end's response is complete.
  Answered,
  /// The response is incomplete or missing; the call may have run.
  Unknown,
  Cancelled,
};

/// One attempt to run a caller's request at this endpoint.
struct Attempt
{
  ids::AttemptId mId;
  ids::RequestId mRequest;
  ids::ClientAccountId mAccount;
  ids::ModelId mModel;
  catalogue::RequestClass mClass{ catalogue::RequestClass::Streamed };
  std::uint32_t mWeight{ 1 };
  /// Prompt and output tokens that the request may use.
  units::Tokens mCost;
  BackendCall mCall;
  AttemptPhase mPhase{ AttemptPhase::Queued };
  /// Connection of the latest message from the sender.
  std::string mRoute;
  ResponseBuffer mAnswer;
  AttemptEnd mEnd{ AttemptEnd::Unknown };
  int mHttpStatus{ 0 };
  std::string mContentType;
  units::Tokens mPromptTokens;
  units::Tokens mOutputTokens;
  timing::Instant mDeadline;
  timing::Instant mStartedAt;
  timing::Instant mEndedAt;
  /// When a message about the attempt was last sent.
  timing::Instant mSentAt;
  /// True after the sender confirmed the whole response.
  bool mConfirmed{ false };
  bool mCancelRequested{ false };
};

}

#endif
