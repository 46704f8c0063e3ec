#include "components/gateway/accountshares.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace samphiresail::gateway {

namespace {

/// Time constant of the averages. It covers several requests of an account at one entry.
constexpr double kTimeConstantSeconds = 6.0;
/// Rate below which an account is erased, in engines.
constexpr double kMinTrackedRate = 0.00001;
/// What engines can take in time while requests find no room, as a part of what they took
/// lately. It shrinks with that until there is room again.
constexpr double kContendedCapacity = 0.9;
/// Standard deviations of an average beyond which an excess is no coincidence; an entry
/// sees few requests of an account.
constexpr double kSignificance = 2.0;
/// Weight of a request in the mean work.
constexpr double kWorkGain = 0.02;
/// How long a lack of room is remembered.
constexpr timing::Duration kContentionTime = std::chrono::seconds(2);

}

double AccountShares::Rate::At(timing::Instant aNow) const
{
  const double seconds = std::chrono::duration<double>(aNow - mUpdatedAt).count();
  return mValue * std::exp(-std::max(seconds, 0.0) / kTimeConstantSeconds);
}

void AccountShares::Rate::Add(double aAmount, timing::Instant aNow)
{
  mValue = At(aNow) + aAmount / kTimeConstantSeconds;
  mUpdatedAt = aNow;
}

void AccountShares::RecordDemand(const ids::ModelId& aModel,
                                 const ids::ClientAccountId& aAccount,
                                 double aWeight,
                                 double aWork,
                                 timing::Instant aNow)
{
  Account& account = mModels[aModel].mAccounts[aAccount];
  account.mWeight = aWeight;
  account.mDemand.Add(aWork, aNow);
}

void AccountShares::RecordBegun(const ids::ModelId& aModel,
                                const ids::ClientAccountId& aAccount,
                                double aWork,
                                timing::Instant aNow)
{
  Model& model = mModels[aModel];
  model.mAccounts[aAccount].mBegun.Add(aWork, aNow);
  ++model.mBegun;
  model.mMeanWork += std::max(kWorkGain, 1.0 / model.mBegun) * (aWork - model.mMeanWork);
}

void AccountShares::RecordContention(const ids::ModelId& aModel, timing::Instant aNow)
{
  mModels[aModel].mContendedAt = aNow;
}

std::optional<double> AccountShares::FairLevel(const Model& aModel, timing::Instant aNow)
{
  struct Demand
  {
    double mLevel{ 0.0 };
    double mWeight{ 0.0 };
  };
  std::vector<Demand> demands;
  double left = 0.0;
  double weights = 0.0;
  for (const auto& [name, account] : aModel.mAccounts) {
    const double weight = std::max(account.mWeight, 1e-9);
    demands.push_back({ account.mDemand.At(aNow) / weight, weight });
    left += account.mBegun.At(aNow);
    weights += weight;
  }
  // Where all use alike, nobody is above the level although there is too little.
  const double even = left / std::max(weights, 1e-9);
  left *= kContendedCapacity;
  std::ranges::sort(demands, {}, &Demand::mLevel);
  for (const Demand& demand : demands) {
    if (demand.mLevel * weights > left) {
      return std::max(left / weights, even);
    }
    left -= demand.mLevel * demand.mWeight;
    weights -= demand.mWeight;
  }
  return std::nullopt;
}

bool AccountShares::IsOverShare(const ids::ModelId& aModel,
                                const ids::ClientAccountId& aAccount,
                                timing::Instant aNow) const
{
  const auto model = mModels.find(aModel);
  if (model == mModels.end() || !model->second.mContendedAt ||
      aNow - *model->second.mContendedAt > kContentionTime) {
    return false;
  }
  const auto& accounts = model->second.mAccounts;
  const auto account = accounts.find(aAccount);
  if (account == accounts.end() || accounts.size() < 2) {
    return false;
  }
  const auto level = FairLevel(model->second, aNow);
  if (!level) {
    return false;
  }
  const double share = *level * account->second.mWeight;
  const double deviation =
    std::sqrt(share * model->second.mMeanWork / (2.0 * kTimeConstantSeconds));
  return account->second.mBegun.At(aNow) > share + kSignificance * deviation;
}

void AccountShares::Tick(timing::Instant aNow)
{
  for (auto& [name, model] : mModels) {
    std::erase_if(model.mAccounts, [aNow](const auto& aRow) {
      return aRow.second.mDemand.At(aNow) < kMinTrackedRate &&
             aRow.second.mBegun.At(aNow) < kMinTrackedRate;
    });
  }
  std::erase_if(mModels, [](const auto& aRow) { return aRow.second.mAccounts.empty(); });
}

}
