#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_APIERROR_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_APIERROR_HPP

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

#include "components/units/quantity.hpp"

namespace samphiresail::entry {

/// Errors that callers may meet; each has one HTTP status and one name in the answer.
enum class ApiErrorType
{
  InvalidJson,
  InvalidParameter,
  BodyTooLarge,
  UnknownRoute,
  UnknownModel,
  MissingKey,
  InvalidKey,
  KeyWithdrawn,
  RateLimited,
  ExceedsBurst,
  Overloaded,
  NoEndpoint,
  NotInTouch,
  StoreUnavailable,
  Stopping,
  DeadlineExceeded,
  OutcomeUnknown,
  IdempotencyKeyReused,
  OperationInProgress,
};

/// What an error says about the execution of the request.
enum class Outcome
{
  NotRun,
  Unknown,
};

/// State of a client account's limit, for the RateLimit headers.
struct RateLimitState
{
  units::Tokens mLimit;
  units::Tokens mRemaining;
  std::chrono::milliseconds mReset{ 0 };
};

/// Error that a caller gets as a JSON object under the key "error".
class ApiError : public std::runtime_error
{
public:
  ApiError(ApiErrorType aType, const std::string& aMessage);

  ApiErrorType Type() const { return mType; }
  Outcome RequestOutcome() const { return mOutcome; }
  int HttpStatus() const;
  std::string Name() const;

  ApiError& WithOutcome(Outcome aOutcome);
  ApiError& WithRetryAfter(std::chrono::milliseconds aRetryAfter);

  ApiError& WithRateLimit(const RateLimitState& aState);

  const std::optional<RateLimitState>& RateLimit() const { return mRateLimit; }
  const std::optional<std::chrono::milliseconds>& RetryAfter() const
  {
    return mRetryAfter;
  }

  /// Returns the JSON body of the answer.
  std::string Body(const std::string& aRequestId) const;

private:
  ApiErrorType mType;
  Outcome mOutcome;
  std::optional<std::chrono::milliseconds> mRetryAfter;
  std::optional<RateLimitState> mRateLimit;
};

}

#endif
