#include "apps/samphiresail/entry/apierror.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include <nlohmann/json.hpp>

namespace samphiresail::entry {

namespace {

struct ErrorRow
{
  ApiErrorType mType;
  int mStatus;
  std::string_view mName;
};

constexpr std::array kErrors{
  ErrorRow{ ApiErrorType::InvalidJson, 400, "invalid_json" },
  ErrorRow{ ApiErrorType::InvalidParameter, 400, "invalid_parameter" },
  ErrorRow{ ApiErrorType::BodyTooLarge, 413, "body_too_large" },
  ErrorRow{ ApiErrorType::UnknownRoute, 404, "unknown_route" },
  ErrorRow{ ApiErrorType::UnknownModel, 404, "unknown_model" },
  ErrorRow{ ApiErrorType::MissingKey, 401, "missing_key" },
  ErrorRow{ ApiErrorType::InvalidKey, 401, "invalid_key" },
  ErrorRow{ ApiErrorType::KeyWithdrawn, 401, "key_withdrawn" },
  ErrorRow{ ApiErrorType::RateLimited, 429, "rate_limited" },
  ErrorRow{ ApiErrorType::ExceedsBurst, 400, "exceeds_burst" },
  ErrorRow{ ApiErrorType::Overloaded, 503, "overloaded" },
  ErrorRow{ ApiErrorType::NoEndpoint, 503, "no_endpoint" },
  ErrorRow{ ApiErrorType::NotInTouch, 503, "not_in_touch" },
  ErrorRow{ ApiErrorType::StoreUnavailable, 503, "store_unavailable" },
  ErrorRow{ ApiErrorType::Stopping, 503, "stopping" },
  ErrorRow{ ApiErrorType::DeadlineExceeded, 504, "deadline_exceeded" },
  ErrorRow{ ApiErrorType::OutcomeUnknown, 502, "outcome_unknown" },
  ErrorRow{ ApiErrorType::IdempotencyKeyReused, 422, "idempotency_key_reused" },
  ErrorRow{ ApiErrorType::OperationInProgress, 409, "operation_in_progress" },
};

const ErrorRow& RowOf(ApiErrorType aType)
{
  return *std::ranges::find(kErrors, aType, &ErrorRow::mType);
}

}

ApiError::ApiError(ApiErrorType aType, const std::string& aMessage)
  : std::runtime_error(aMessage)
  , mType(aType)
  , mOutcome(aType == ApiErrorType::OutcomeUnknown ? Outcome::Unknown : Outcome::NotRun)
{
}

int ApiError::HttpStatus() const
{
  return RowOf(mType).mStatus;
}

std::string ApiError::Name() const
{
  return std::string(RowOf(mType).mName);
}

ApiError& ApiError::WithOutcome(Outcome aOutcome)
{
  mOutcome = aOutcome;
  return *this;
}

ApiError& ApiError::WithRetryAfter(std::chrono::milliseconds aRetryAfter)
{
  mRetryAfter = aRetryAfter;
  return *this;
}

ApiError& ApiError::WithRateLimit(const RateLimitState& aState)
{
  mRateLimit = aState;
  return WithRetryAfter(aState.mReset);
}

std::string ApiError::Body(const std::string& aRequestId) const
{
  nlohmann::json error{ { "type", Name() },
                        { "message", what() },
                        { "outcome",
                          mOutcome == Outcome::NotRun ? "not_run" : "unknown" },
                        { "request_id", aRequestId } };
  if (mRetryAfter) {
    error["retry_after_ms"] = mRetryAfter->count();
  }
  return nlohmann::json{ { "error", error } }.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
