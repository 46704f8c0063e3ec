#include "components/configurationcheck/findingkinds.hpp"

#include <array>

namespace samphiresail::configurationcheck {

namespace {

constexpr auto kAllKinds = std::to_array<FindingKind>({
  { kinds::kInvalidEntry, "an entry of a catalogue cannot be read" },
  { kinds::kMissingField, "a required field is missing" },
  { kinds::kWrongType, "a value has another type than its field" },
  { kinds::kUnknownField, "a key of a catalogue is not known" },
  { kinds::kOutOfRange, "a number is out of the range of its field" },
  { kinds::kTooLarge, "the text is larger than an entry reads" },
  { kinds::kInvalidSetting, "a field of a settings file is missing or invalid" },
  { kinds::kVersionNotNewer, "entries ignore a version that is not newer" },
  { kinds::kDuplicateField, "a field stands twice in an object; the last one holds" },
  { kinds::kDuplicateName, "a name stands twice; only the first entry is used" },
  { kinds::kDuplicateKey, "a key stands twice; only the first account has it" },
  { kinds::kEmptyKey, "an empty key, which no request can use" },
  { kinds::kShadowedRoute, "another route takes all requests of this one" },
  { kinds::kUnmatchableHost, "no request's host can equal this one" },
  { kinds::kUnmatchablePath, "no request's path can match this one" },
  { kinds::kRouteWithoutService, "a route names no service" },
  { kinds::kUnknownService, "a route names a service that is not declared" },
  { kinds::kZeroWeight, "a service has the weight 0 in a route" },
  { kinds::kAccountWithoutKeys, "no request can belong to the account" },
  { kinds::kModelTooLarge, "a model needs more memory than any endpoint has" },
  { kinds::kAdapterTooLarge, "a model does not fit beside the memory for adapters" },
  { kinds::kAdapterWithoutSlot, "a model has adapters and its engine no place for one" },
  { kinds::kAdapterWithoutModel, "the model of an adapter does not exist" },
  { kinds::kUnknownPool, "a pool does not exist or is of another kind" },
  { kinds::kTargetAboveTimeout, "the target latency is above the timeout" },
  { kinds::kPauseAboveTimeout, "the longest pause is above the timeout" },
  { kinds::kBurstBelowRequest, "the burst of an account is below one request" },
  { kinds::kRateBelowRequest, "the rate of an account is below one request a second" },
  { kinds::kNoAttempts, "a route allows 0 attempts" },
  { kinds::kAttemptsBeyondBudget, "the retry budget never allows so many attempts" },
  { kinds::kAttemptsBeyondTimeout, "the last attempt would begin after the timeout" },
  { kinds::kKeysWithdrawn, "difference: callers lose keys" },
  { kinds::kQuotaLowered, "difference: the quota of an account is lowered" },
  { kinds::kRouteDropped, "difference: a route no longer exists" },
  { kinds::kRouteClosed, "difference: callers need a key where they needed none" },
  { kinds::kCallerLimitLowered, "difference: a limit of requests is lowered" },
  { kinds::kModelDropped, "difference: a model or its adapters no longer exist" },
});

}

std::span<const FindingKind> AllFindingKinds()
{
  return kAllKinds;
}

}
