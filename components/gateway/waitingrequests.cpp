#include "components/gateway/waitingrequests.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace samphiresail::gateway {

namespace {

/// Waiting requests try on every tick of the frontend.
constexpr timing::Duration kForgetAfter = std::chrono::milliseconds(500);
/// Time constant of the mean number of waiting requests, that of the demand.
constexpr double kMeanSeconds = 2.0;
/// Mean below which a model is erased.
constexpr double kMinMean = 0.001;
/// Requests a second below which no forecast is made.
constexpr double kMinRate = 0.1;

}

void WaitingRequests::RecordWait(const ids::RequestId& aRequest,
                                 const ids::ModelId& aModel,
                                 Milliseconds aOrder,
                                 timing::Instant aNow)
{
  const auto [it, added] = mRows.try_emplace(aRequest, Row{ aModel, aOrder, aNow, aNow });
  it->second.mOrder = aOrder;
  it->second.mTriedAt = aNow;
}

void WaitingRequests::RecordBegun(const ids::RequestId& aRequest,
                                  const ids::ModelId& aModel,
                                  timing::Instant aNow)
{
  Erase(aRequest);
  mBegun.Add(aModel.Str(), 1.0, aNow);
}

std::optional<Milliseconds> WaitingRequests::Forecast(const ids::RequestId& aRequest,
                                                      timing::Instant aNow) const
{
  const auto it = mRows.find(aRequest);
  if (it == mRows.end()) {
    return std::nullopt;
  }
  const Row& own = it->second;
  const double rate = mBegun.Rate(own.mModel.Str(), aNow);
  if (rate < kMinRate) {
    return std::nullopt;
  }
  const auto before = std::ranges::count_if(mRows, [&own](const auto& aRow) {
    const Row& row = aRow.second;
    return row.mModel == own.mModel &&
           std::pair(row.mOrder, row.mSince) < std::pair(own.mOrder, own.mSince);
  });
  return Milliseconds(1000.0 * static_cast<double>(before) / rate);
}

std::size_t WaitingRequests::Count(const ids::ModelId& aModel) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mRows, [&aModel](const auto& aRow) { return aRow.second.mModel == aModel; }));
}

double WaitingRequests::MeanCount(const ids::ModelId& aModel) const
{
  const auto it = mMeanCounts.find(aModel);
  return it == mMeanCounts.end() ? 0.0 : it->second;
}

void WaitingRequests::Tick(timing::Instant aNow)
{
  std::erase_if(mRows, [aNow](const auto& aRow) {
    return aRow.second.mTriedAt + kForgetAfter < aNow;
  });
  const double seconds = std::chrono::duration<double>(aNow - mSampledAt).count();
  const double gain = 1.0 - std::exp(-std::max(seconds, 0.0) / kMeanSeconds);
  mSampledAt = aNow;
  for (auto& [model, mean] : mMeanCounts) {
    mean *= 1.0 - gain;
  }
  for (const auto& [request, row] : mRows) {
    mMeanCounts[row.mModel] += gain;
  }
  std::erase_if(mMeanCounts, [](const auto& aRow) { return aRow.second < kMinMean; });
  mBegun.Tick(aNow);
}

}
