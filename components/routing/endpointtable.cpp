#include "components/routing/endpointtable.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <mutex>
#include <utility>

namespace samphiresail::routing {

namespace {

/// Time constant with which a reported load decays towards the mean: at this age, the
/// weight of a report has dropped by about two thirds.
constexpr std::chrono::duration<double> kReportDecayTime{ 1.5 };
/// Weight of one report in the exponential moving average of the load.
constexpr double kMeanSmoothing = 0.02;

/// Weight of a report relative to the mean: 1 for a new report, decaying towards 0 with
/// its age.
double ReportWeight(timing::Instant aReportedAt, timing::Instant aNow)
{
  if (aNow <= aReportedAt) {
    return 1.0;
  }
  const std::chrono::duration<double> age = aNow - aReportedAt;
  return std::exp(-(age / kReportDecayTime));
}

/// Returns the difference, or 0 if it would be negative.
double SaturatingDifference(std::uint32_t aMinuend, std::uint32_t aSubtrahend)
{
  return aMinuend > aSubtrahend ? static_cast<double>(aMinuend - aSubtrahend) : 0.0;
}

void EraseRow(std::vector<std::uint32_t>& aRows, std::uint32_t aRow)
{
  std::erase(aRows, aRow);
}

}

EndpointTable::Row* EndpointTable::FindRow(const ids::EndpointId& aName)
{
  const auto it = mIndex.find(aName);
  return it == mIndex.end() ? nullptr : &mRows.at(it->second);
}

const EndpointTable::Row* EndpointTable::FindRow(const ids::EndpointId& aName) const
{
  const auto it = mIndex.find(aName);
  return it == mIndex.end() ? nullptr : &mRows.at(it->second);
}

void EndpointTable::Put(const EndpointDescription& aDescription)
{
  const std::unique_lock lock(mMutex);
  Row* row = FindRow(aDescription.mName);
  if (row != nullptr && row->mDescription.mIncarnation == aDescription.mIncarnation &&
      row->mDescription.mPool == aDescription.mPool) {
    row->mDescription = aDescription;
    row->mZoneOut = mZonesOut.contains(aDescription.mAvailabilityZone);
    return;
  }
  std::uint32_t index = 0;
  std::uint32_t own = 0;
  if (row != nullptr) {
    index = mIndex.at(aDescription.mName);
    own = row->mOwnInFlight;
    RemoveFromIndexes(index);
  } else {
    const auto unused = std::ranges::find(mRows, false, &Row::mIsUsed);
    index = static_cast<std::uint32_t>(unused - mRows.begin());
    if (unused == mRows.end()) {
      mRows.emplace_back();
      mNameHashes.push_back(0);
    }
    mNameHashes.at(index) = std::hash<ids::EndpointId>{}(aDescription.mName);
    mIndex.emplace(aDescription.mName, index);
  }
  Row newRow;
  newRow.mDescription = aDescription;
  newRow.mIsUsed = true;
  newRow.mOwnInFlight = own;
  newRow.mZoneOut = mZonesOut.contains(aDescription.mAvailabilityZone);
  mRows.at(index) = std::move(newRow);
  mPools[aDescription.mPool].push_back(index);
}

void EndpointTable::Remove(const ids::EndpointId& aName)
{
  const std::unique_lock lock(mMutex);
  const auto it = mIndex.find(aName);
  if (it == mIndex.end()) {
    return;
  }
  RemoveFromIndexes(it->second);
  mRows.at(it->second) = Row{};
  mIndex.erase(it);
}

void EndpointTable::RemoveFromIndexes(std::uint32_t aIndex)
{
  const Row& row = mRows.at(aIndex);
  EraseRow(mPools[row.mDescription.mPool], aIndex);
  for (const auto& [model, state] : row.mModels) {
    if (state.mResident) {
      EraseRow(mHolders[model], aIndex);
    }
  }
}

void EndpointTable::ReportLoad(const ids::EndpointId& aName,
                               const EndpointLoad& aLoad,
                               timing::Instant aNow)
{
  const std::unique_lock lock(mMutex);
  Row* row = FindRow(aName);
  if (row == nullptr) {
    return;
  }
  row->mLoad = aLoad;
  row->mLoad.mInFlightLimit = std::max<std::uint32_t>(aLoad.mInFlightLimit, 1);
  row->mReportedAt = aNow;
  row->mOwnInFlightAtReport = row->mOwnInFlight;
  row->mUnreachableUntil = {};
  const double others =
    SaturatingDifference(aLoad.mInFlight + aLoad.mQueued, row->mOwnInFlight);
  mMeanOthersOccupancy +=
    kMeanSmoothing * (others / row->mLoad.mInFlightLimit - mMeanOthersOccupancy);
}

void EndpointTable::ReportModels(const ids::EndpointId& aName,
                                 const std::vector<ModelPresence>& aModels,
                                 timing::Instant aNow)
{
  const std::unique_lock lock(mMutex);
  const auto it = mIndex.find(aName);
  if (it == mIndex.end()) {
    return;
  }
  const std::uint32_t index = it->second;
  auto& known = mRows.at(index).mModels;
  const auto reported = [&](const ids::ModelId& aModel) {
    return std::ranges::find(aModels, aModel, &ModelPresence::mModel) != aModels.end();
  };
  for (auto& [model, state] : known) {
    if (state.mResident && !reported(model)) {
      state.mResident = false;
      EraseRow(mHolders[model], index);
    }
  }
  for (const ModelPresence& presence : aModels) {
    ModelRow& state = known[presence.mModel];
    if (state.mResident && !presence.mResident) {
      EraseRow(mHolders[presence.mModel], index);
    } else if (!state.mResident && presence.mResident) {
      mHolders[presence.mModel].push_back(index);
    }
    state.mResident = presence.mResident;
    state.mReportedInFlight = presence.mInFlight;
    state.mOwnInFlightAtReport = state.mOwnInFlight;
    state.mReportedAt = aNow;
  }
  std::erase_if(known, [](const auto& aEntry) {
    return !aEntry.second.mResident && aEntry.second.mOwnInFlight == 0;
  });
}

void EndpointTable::MarkUnreachable(const ids::EndpointId& aName, timing::Instant aUntil)
{
  const std::unique_lock lock(mMutex);
  if (Row* row = FindRow(aName)) {
    row->mUnreachableUntil = aUntil;
  }
}

void EndpointTable::SetZonesOut(const std::vector<ids::AvailabilityZoneId>& aZones)
{
  const std::unique_lock lock(mMutex);
  mZonesOut = { aZones.begin(), aZones.end() };
  for (Row& row : mRows) {
    row.mZoneOut = mZonesOut.contains(row.mDescription.mAvailabilityZone);
  }
}

void EndpointTable::Begin(const ids::EndpointId& aName, const ids::ModelId& aModel)
{
  const std::unique_lock lock(mMutex);
  if (Row* row = FindRow(aName)) {
    ++row->mOwnInFlight;
    ++row->mModels[aModel].mOwnInFlight;
  }
}

void EndpointTable::End(const ids::EndpointId& aName, const ids::ModelId& aModel)
{
  const std::unique_lock lock(mMutex);
  Row* row = FindRow(aName);
  if (row == nullptr) {
    return;
  }
  row->mOwnInFlight -= row->mOwnInFlight > 0 ? 1 : 0;
  if (const auto it = row->mModels.find(aModel); it != row->mModels.end()) {
    it->second.mOwnInFlight -= it->second.mOwnInFlight > 0 ? 1 : 0;
  }
}

std::optional<EndpointDescription> EndpointTable::Find(const ids::EndpointId& aName) const
{
  const std::shared_lock lock(mMutex);
  const Row* row = FindRow(aName);
  return row == nullptr ? std::nullopt : std::optional(row->mDescription);
}

std::vector<EndpointDescription> EndpointTable::All() const
{
  const std::shared_lock lock(mMutex);
  std::vector<EndpointDescription> all;
  all.reserve(mIndex.size());
  for (const Row& row : mRows) {
    if (row.mIsUsed) {
      all.push_back(row.mDescription);
    }
  }
  return all;
}

std::size_t EndpointTable::HolderCount(const ids::ModelId& aModel) const
{
  const std::shared_lock lock(mMutex);
  const auto it = mHolders.find(aModel);
  return it == mHolders.end() ? 0 : it->second.size();
}

double EndpointTable::EstimateInFlight(const Row& aRow, timing::Instant aNow) const
{
  const double weight = ReportWeight(aRow.mReportedAt, aNow);
  const double reportedOthers = SaturatingDifference(
    aRow.mLoad.mInFlight + aRow.mLoad.mQueued, aRow.mOwnInFlightAtReport);
  const double others = weight * reportedOthers +
                        (1.0 - weight) * mMeanOthersOccupancy * aRow.mLoad.mInFlightLimit;
  return others + aRow.mOwnInFlight;
}

const std::vector<std::uint32_t>& EndpointTable::View::Rows(
  const EndpointRequirement& aRequirement) const
{
  static const std::vector<std::uint32_t> kNone;
  if (aRequirement.mModel.Empty()) {
    const auto it = mTable.mPools.find(aRequirement.mPool);
    return it == mTable.mPools.end() ? kNone : it->second;
  }
  const auto it = mTable.mHolders.find(aRequirement.mModel);
  return it == mTable.mHolders.end() ? kNone : it->second;
}

std::optional<Candidate> EndpointTable::View::Evaluate(
  std::uint32_t aRow,
  const EndpointRequirement& aRequirement,
  timing::Instant aNow) const
{
  const Row& row = mTable.mRows[aRow];
  if (row.mLoad.mDown || row.mLoad.mLeaving || row.mZoneOut ||
      aNow < row.mUnreachableUntil) {
    return std::nullopt;
  }
  if (std::ranges::find(aRequirement.mExcluded, row.mDescription.mName) !=
      aRequirement.mExcluded.end()) {
    return std::nullopt;
  }
  const double inFlight = mTable.EstimateInFlight(row, aNow);
  if (row.mLoad.mCold && inFlight + 1.0 > row.mLoad.mInFlightLimit) {
    return std::nullopt;
  }
  Candidate candidate;
  candidate.mRow = aRow;
  candidate.mOccupancy = (inFlight + 1.0) / row.mLoad.mInFlightLimit;
  candidate.mNear = row.mDescription.mAvailabilityZone == aRequirement.mNearZone;
  if (const auto it = row.mModels.find(aRequirement.mModel); it != row.mModels.end()) {
    const ModelRow& model = it->second;
    candidate.mModelInFlight =
      SaturatingDifference(model.mReportedInFlight, model.mOwnInFlightAtReport) *
        ReportWeight(model.mReportedAt, aNow) +
      model.mOwnInFlight;
  }
  return candidate;
}

bool EndpointTable::View::IsInColdStart(std::uint32_t aRow, timing::Instant aNow) const
{
  const Row& row = mTable.mRows[aRow];
  return row.mLoad.mCold && !row.mLoad.mDown && !row.mLoad.mLeaving && !row.mZoneOut &&
         aNow >= row.mUnreachableUntil;
}

const EndpointDescription& EndpointTable::View::Description(std::uint32_t aRow) const
{
  return mTable.mRows[aRow].mDescription;
}

}
