#include "components/limits/creditrequester.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace samphiresail::limits {

namespace {

using namespace std::chrono_literals;

/// Time constant of the moving average of the demand.
constexpr double kDemandTimeConstantSeconds = 0.5;
/// The reserve covers the mean demand over this time.
constexpr double kReserveSeconds = 0.15;
/// Time without a reply after which the tokens are requested again.
constexpr timing::Duration kReplyTimeout = 60ms;
/// Time for which a holder that granted less than requested counts as short of credit.
constexpr timing::Duration kShortageDuration = 100ms;
constexpr timing::Duration kIdleTimeout = 500ms;
/// Maximum delay before the use of a grant is reported.
constexpr timing::Duration kMaxReportDelay = 100ms;

}

CreditRequester::CreditRequester(timing::Duration aGrantLife)
  : mGrantLife(aGrantLife)
{
}

std::vector<CreditRequestMessage> CreditRequester::Plan(
  const AccountActivity& aActivity,
  const std::vector<LimitShare>& aShares,
  const ids::ProcessId& aNearest,
  bool aFlush,
  timing::Instant aNow)
{
  std::erase_if(mPending, [&](const auto& aItem) {
    return aItem.second.mRequestedAt + mGrantLife <= aNow;
  });
  Demand& demand = mDemands[aActivity.mAccount];
  UpdateDemand(demand, aActivity, aNow);
  const auto tokensByHolder =
    SplitByHolder(demand, TokensNeeded(demand, aActivity, aNow), aShares, aNearest, aNow);

  std::set<ids::ProcessId> holders;
  for (const auto& [holder, tokens] : tokensByHolder) {
    holders.insert(holder);
  }
  if (aFlush || aNow - demand.mLastReportAt >= kMaxReportDelay) {
    demand.mLastReportAt = aNow;
    for (const GrantUse& use : demand.mUnreported) {
      holders.insert(use.mOrigin.mHolder);
    }
  }
  std::vector<CreditRequestMessage> messages;
  for (const ids::ProcessId& holder : holders) {
    const auto it = tokensByHolder.find(holder);
    CreditRequestMessage message{ holder,
                                  aActivity.mAccount,
                                  ++mLastNonce,
                                  units::Tokens(it == tokensByHolder.end() ? 0
                                                                           : it->second),
                                  {} };
    std::ranges::copy_if(
      demand.mUnreported, std::back_inserter(message.mUses), [&](const GrantUse& aUse) {
        return aUse.mOrigin.mHolder == holder;
      });
    std::erase_if(demand.mUnreported,
                  [&](const GrantUse& aUse) { return aUse.mOrigin.mHolder == holder; });
    if (message.mTokens.Count() > 0) {
      mPending[message.mNonce] = {
        aActivity.mAccount, holder, message.mTokens.Count(), aNow, false
      };
    }
    messages.push_back(std::move(message));
  }
  return messages;
}

std::optional<AcceptedGrant> CreditRequester::OnGrant(const ids::ProcessId& aHolder,
                                                      std::uint64_t aNonce,
                                                      units::Tokens aTokens,
                                                      timing::Instant aNow)
{
  const auto it = mPending.find(aNonce);
  if (it == mPending.end() || it->second.mHolder != aHolder || it->second.mReplied) {
    return std::nullopt;
  }
  Pending& pending = it->second;
  pending.mReplied = true;
  if (aTokens.Count() < pending.mTokens) {
    mDemands[pending.mAccount].mShortUntil[aHolder] = aNow + kShortageDuration;
  }
  const timing::Instant expiry = pending.mRequestedAt + mGrantLife;
  if (aTokens.Count() <= 0 || expiry <= aNow) {
    return std::nullopt;
  }
  return AcceptedGrant{ pending.mAccount, { aHolder, aNonce }, aTokens, expiry };
}

bool CreditRequester::IsIdle(const AccountActivity& aActivity, timing::Instant aNow) const
{
  const auto it = mDemands.find(aActivity.mAccount);
  return it != mDemands.end() && aActivity.mAvailable.Count() > 0 &&
         aActivity.mWaiting.Count() == 0 &&
         it->second.mLastDemandAt + kIdleTimeout <= aNow;
}

void CreditRequester::UpdateDemand(Demand& aDemand,
                                   const AccountActivity& aActivity,
                                   timing::Instant aNow)
{
  if (aDemand.mLastPlanAt && aNow > *aDemand.mLastPlanAt) {
    const double seconds =
      std::chrono::duration<double>(aNow - *aDemand.mLastPlanAt).count();
    const double current = static_cast<double>(aActivity.mCharged.Count()) / seconds;
    const double weight = 1.0 - std::exp(-seconds / kDemandTimeConstantSeconds);
    aDemand.mPerSecond += (current - aDemand.mPerSecond) * weight;
  }
  aDemand.mLastPlanAt = aNow;
  if (aActivity.mCharged.Count() > 0 || aActivity.mWaiting.Count() > 0) {
    aDemand.mLastDemandAt = aNow;
  }
  aDemand.mUnreported.insert(
    aDemand.mUnreported.end(), aActivity.mUses.begin(), aActivity.mUses.end());
}

std::int64_t CreditRequester::TokensNeeded(const Demand& aDemand,
                                           const AccountActivity& aActivity,
                                           timing::Instant aNow) const
{
  const std::int64_t inFlight =
    std::accumulate(mPending.begin(),
                    mPending.end(),
                    std::int64_t{ 0 },
                    [&](std::int64_t aSum, const auto& aItem) {
                      const Pending& pending = aItem.second;
                      const bool open = pending.mAccount == aActivity.mAccount &&
                                        !pending.mReplied &&
                                        aNow - pending.mRequestedAt < kReplyTimeout;
                      return aSum + (open ? pending.mTokens : 0);
                    });
  const auto reserve = static_cast<std::int64_t>(aDemand.mPerSecond * kReserveSeconds);
  return aActivity.mWaiting.Count() + reserve - aActivity.mAvailable.Count() - inFlight;
}

std::map<ids::ProcessId, std::int64_t> CreditRequester::SplitByHolder(
  const Demand& aDemand,
  std::int64_t aNeed,
  const std::vector<LimitShare>& aShares,
  const ids::ProcessId& aNearest,
  timing::Instant aNow)
{
  if (aNeed <= 0) {
    return {};
  }
  const auto isShort = [&](const ids::ProcessId& aHolder) {
    const auto it = aDemand.mShortUntil.find(aHolder);
    return it != aDemand.mShortUntil.end() && aNow < it->second;
  };
  const auto isNearest = [&](const LimitShare& aShare) {
    return aShare.mHolder == aNearest;
  };
  if (!isShort(aNearest) && std::ranges::any_of(aShares, isNearest)) {
    return { { aNearest, aNeed } };
  }
  std::vector<LimitShare> candidates;
  std::ranges::copy_if(
    aShares, std::back_inserter(candidates), [&](const LimitShare& aShare) {
      return aShare.mMillionths > 0 && !isShort(aShare.mHolder);
    });
  if (candidates.empty()) {
    std::ranges::copy_if(aShares,
                         std::back_inserter(candidates),
                         [](const LimitShare& aShare) { return aShare.mMillionths > 0; });
  }
  const std::int64_t total =
    std::accumulate(candidates.begin(),
                    candidates.end(),
                    std::int64_t{ 0 },
                    [](std::int64_t aSum, const LimitShare& aShare) {
                      return aSum + aShare.mMillionths;
                    });
  std::map<ids::ProcessId, std::int64_t> tokensByHolder;
  for (const LimitShare& share : candidates) {
    tokensByHolder[share.mHolder] += (aNeed * share.mMillionths + total - 1) / total;
  }
  return tokensByHolder;
}

}
