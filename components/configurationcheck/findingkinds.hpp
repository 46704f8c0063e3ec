#ifndef SAMPHIRESAIL_COMPONENTS_CONFIGURATIONCHECK_FINDINGKINDS_HPP
#define SAMPHIRESAIL_COMPONENTS_CONFIGURATIONCHECK_FINDINGKINDS_HPP

#include <span>
#include <string_view>

namespace samphiresail::configurationcheck {

/// Names of findings. They are stable, so that scripts can ignore them one by one.
namespace kinds {

// Errors, for which an entry does not use a configuration.
inline constexpr std::string_view kInvalidEntry = "invalid-entry";
inline constexpr std::string_view kMissingField = "missing-field";
inline constexpr std::string_view kWrongType = "wrong-type";
inline constexpr std::string_view kUnknownField = "unknown-field";
inline constexpr std::string_view kOutOfRange = "out-of-range";
inline constexpr std::string_view kTooLarge = "too-large";
inline constexpr std::string_view kInvalidSetting = "invalid-setting";
inline constexpr std::string_view kVersionNotNewer = "version-not-newer";

// Entries that can never match or be used.
inline constexpr std::string_view kDuplicateField = "duplicate-field";
inline constexpr std::string_view kDuplicateName = "duplicate-name";
inline constexpr std::string_view kDuplicateKey = "duplicate-key";
inline constexpr std::string_view kEmptyKey = "empty-key";
inline constexpr std::string_view kShadowedRoute = "shadowed-route";
inline constexpr std::string_view kUnmatchableHost = "unmatchable-host";
inline constexpr std::string_view kUnmatchablePath = "unmatchable-path";
inline constexpr std::string_view kRouteWithoutService = "route-without-service";
inline constexpr std::string_view kUnknownService = "unknown-service";
inline constexpr std::string_view kZeroWeight = "zero-weight";
inline constexpr std::string_view kAccountWithoutKeys = "account-without-keys";
inline constexpr std::string_view kModelTooLarge = "model-too-large";
inline constexpr std::string_view kAdapterTooLarge = "adapter-too-large";
inline constexpr std::string_view kAdapterWithoutSlot = "adapter-without-slot";
inline constexpr std::string_view kAdapterWithoutModel = "adapter-without-model";
inline constexpr std::string_view kUnknownPool = "unknown-pool";

// Contradictory limits.
inline constexpr std::string_view kTargetAboveTimeout = "target-above-timeout";
inline constexpr std::string_view kPauseAboveTimeout = "pause-above-timeout";
inline constexpr std::string_view kBurstBelowRequest = "burst-below-request";
inline constexpr std::string_view kRateBelowRequest = "rate-below-request";
inline constexpr std::string_view kNoAttempts = "no-attempts";
inline constexpr std::string_view kAttemptsBeyondBudget = "attempts-beyond-budget";
inline constexpr std::string_view kAttemptsBeyondTimeout = "attempts-beyond-timeout";

// Differences that take something from callers.
inline constexpr std::string_view kKeysWithdrawn = "keys-withdrawn";
inline constexpr std::string_view kQuotaLowered = "quota-lowered";
inline constexpr std::string_view kRouteDropped = "route-dropped";
inline constexpr std::string_view kRouteClosed = "route-closed";
inline constexpr std::string_view kCallerLimitLowered = "caller-limit-lowered";
inline constexpr std::string_view kModelDropped = "model-dropped";

}

/// Name of a finding with what it says.
struct FindingKind
{
  std::string_view mName;
  std::string_view mSummary;
};

/// Returns all kinds in the order of their description.
std::span<const FindingKind> AllFindingKinds();

}

#endif
