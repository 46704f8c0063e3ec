#include "components/limits/creditrequester.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace samphiresail::limits {

namespace {

using namespace std::chrono_literals;

/// Time constant of the mean demand.
constexpr double kDemandSeconds = 0.5;
/// Time of mean demand that is kept in stock.
constexpr double kStockSeconds = 0.15;
/// After this time an unanswered question is asked again.
constexpr timing::Duration kAnswerTimeout = 60ms;
/// Time for which a holder that gave less than asked is asked less.
constexpr timing::Duration kShortTime = 100ms;
constexpr timing::Duration kIdleTime = 500ms;
/// Longest time for which the use of a grant is held back.
constexpr timing::Duration kReportInterval = 100ms;

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
    return aItem.second.mAskedAt + mGrantLife <= aNow;
  });
  Demand& demand = mDemands[aActivity.mAccount];
  UpdateDemand(demand, aActivity, aNow);
  const auto wanted =
    Split(demand, Need(demand, aActivity, aNow), aShares, aNearest, aNow);

  std::set<ids::ProcessId> holders;
  for (const auto& [holder, tokens] : wanted) {
    holders.insert(holder);
  }
  if (aFlush || aNow - demand.mLastReport >= kReportInterval) {
    demand.mLastReport = aNow;
    for (const GrantUse& use : demand.mUnreported) {
      holders.insert(use.mOrigin.mHolder);
    }
  }
  std::vector<CreditRequestMessage> asks;
  for (const ids::ProcessId& holder : holders) {
    const auto it = wanted.find(holder);
    CreditRequestMessage ask{ holder,
                              aActivity.mAccount,
                              ++mLastNonce,
                              units::Tokens(it == wanted.end() ? 0 : it->second),
                              {} };
    std::ranges::copy_if(
      demand.mUnreported, std::back_inserter(ask.mUses), [&](const GrantUse& aUse) {
        return aUse.mOrigin.mHolder == holder;
      });
    std::erase_if(demand.mUnreported,
                  [&](const GrantUse& aUse) { return aUse.mOrigin.mHolder == holder; });
    if (ask.mTokens.Count() > 0) {
      mPending[ask.mNonce] = {
        aActivity.mAccount, holder, ask.mTokens.Count(), aNow, false
      };
    }
    asks.push_back(std::move(ask));
  }
  return asks;
}

std::optional<AcceptedGrant> CreditRequester::OnGrant(const ids::ProcessId& aHolder,
                                                      std::uint64_t aNonce,
                                                      units::Tokens aTokens,
                                                      timing::Instant aNow)
{
  const auto it = mPending.find(aNonce);
  if (it == mPending.end() || it->second.mHolder != aHolder || it->second.mAnswered) {
    return std::nullopt;
  }
  Pending& pending = it->second;
  pending.mAnswered = true;
  if (aTokens.Count() < pending.mTokens) {
    mDemands[pending.mAccount].mShortUntil[aHolder] = aNow + kShortTime;
  }
  const timing::Instant expiry = pending.mAskedAt + mGrantLife;
  if (aTokens.Count() <= 0 || expiry <= aNow) {
    return std::nullopt;
  }
  return AcceptedGrant{ pending.mAccount, { aHolder, aNonce }, aTokens, expiry };
}

bool CreditRequester::IsIdle(const AccountActivity& aActivity, timing::Instant aNow) const
{
  const auto it = mDemands.find(aActivity.mAccount);
  return it != mDemands.end() && aActivity.mAvailable.Count() > 0 &&
         aActivity.mWaiting.Count() == 0 && it->second.mLastUse + kIdleTime <= aNow;
}

void CreditRequester::UpdateDemand(Demand& aDemand,
                                   const AccountActivity& aActivity,
                                   timing::Instant aNow)
{
  if (aDemand.mLastPlan && aNow > *aDemand.mLastPlan) {
    const double seconds =
      std::chrono::duration<double>(aNow - *aDemand.mLastPlan).count();
    const double current = static_cast<double>(aActivity.mCharged.Count()) / seconds;
    const double weight = 1.0 - std::exp(-seconds / kDemandSeconds);
    aDemand.mPerSecond += (current - aDemand.mPerSecond) * weight;
  }
  aDemand.mLastPlan = aNow;
  if (aActivity.mCharged.Count() > 0 || aActivity.mWaiting.Count() > 0) {
    aDemand.mLastUse = aNow;
  }
  aDemand.mUnreported.insert(
    aDemand.mUnreported.end(), aActivity.mUses.begin(), aActivity.mUses.end());
}

std::int64_t CreditRequester::Need(const Demand& aDemand,
                                   const AccountActivity& aActivity,
                                   timing::Instant aNow) const
{
  const std::int64_t asked = std::accumulate(mPending.begin(),
                                             mPending.end(),
                                             std::int64_t{ 0 },
                                             [&](std::int64_t aSum, const auto& aItem) {
                                               const Pending& pending = aItem.second;
                                               const bool open =
                                                 pending.mAccount == aActivity.mAccount &&
                                                 !pending.mAnswered &&
                                                 aNow - pending.mAskedAt < kAnswerTimeout;
                                               return aSum + (open ? pending.mTokens : 0);
                                             });
  const auto stock = static_cast<std::int64_t>(aDemand.mPerSecond * kStockSeconds);
  return aActivity.mWaiting.Count() + stock - aActivity.mAvailable.Count() - asked;
}

std::map<ids::ProcessId, std::int64_t> CreditRequester::Split(
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
  std::vector<LimitShare> asked;
  std::ranges::copy_if(aShares, std::back_inserter(asked), [&](const LimitShare& aShare) {
    return aShare.mMillionths > 0 && !isShort(aShare.mHolder);
  });
  if (asked.empty()) {
    std::ranges::copy_if(aShares,
                         std::back_inserter(asked),
                         [](const LimitShare& aShare) { return aShare.mMillionths > 0; });
  }
  const std::int64_t total =
    std::accumulate(asked.begin(),
                    asked.end(),
                    std::int64_t{ 0 },
                    [](std::int64_t aSum, const LimitShare& aShare) {
                      return aSum + aShare.mMillionths;
                    });
  std::map<ids::ProcessId, std::int64_t> wanted;
  for (const LimitShare& share : asked) {
    wanted[share.mHolder] += (aNeed * share.mMillionths + total - 1) / total;
  }
  return wanted;
}

}
