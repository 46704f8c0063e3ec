#include "components/catalogue/configurationchanges.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "components/catalogue/cataloguediff.hpp"

namespace samphiresail::catalogue {

namespace {

void KeepOutState(const Catalogue& aFrom, Catalogue& aTo)
{
  for (AvailabilityZone& zone : aTo.mAvailabilityZones) {
    const auto it =
      std::ranges::find(aFrom.mAvailabilityZones, zone.mName, &AvailabilityZone::mName);
    zone.mOut = it != aFrom.mAvailabilityZones.end() && it->mOut;
  }
}

bool DeclaresAccount(const Catalogue& aCatalogue, const ids::ClientAccountId& aName)
{
  return std::ranges::find(aCatalogue.mClientAccounts, aName, &ClientAccount::mName) !=
         aCatalogue.mClientAccounts.end();
}

}

ConflictError::ConflictError(units::Version aVersion, std::vector<std::string> aChanges)
  : std::runtime_error("the catalogue in force was changed to version " +
                       std::to_string(aVersion.Count()) + " by another operator")
  , mChanges(std::move(aChanges))
{
}

ApplyCatalogue::ApplyCatalogue(Catalogue aCatalogue,
                               std::optional<units::Version> aExpected)
  : mCatalogue(std::move(aCatalogue))
  , mExpected(aExpected)
{
}

std::optional<Configuration> ApplyCatalogue::operator()(const Configuration& aCurrent)
{
  if (DiffCatalogues(aCurrent.mCatalogue, mCatalogue).empty()) {
    return std::nullopt;
  }
  if (!mFirst) {
    mFirst = aCurrent;
    if (mExpected && *mExpected != aCurrent.mVersion) {
      throw ConflictError(aCurrent.mVersion, {});
    }
  }
  std::vector<std::string> changes =
    DiffCatalogues(mFirst->mCatalogue, aCurrent.mCatalogue);
  if (!changes.empty()) {
    throw ConflictError(aCurrent.mVersion, std::move(changes));
  }
  Configuration wanted = aCurrent;
  wanted.mCatalogue = mCatalogue;
  KeepOutState(aCurrent.mCatalogue, wanted.mCatalogue);
  std::erase_if(wanted.mKeys, [&](const IssuedKey& aKey) {
    return !DeclaresAccount(mCatalogue, aKey.mAccount);
  });
  return wanted;
}

IssueKey::IssueKey(IssuedKey aKey)
  : mKey(std::move(aKey))
{
}

std::optional<Configuration> IssueKey::operator()(const Configuration& aCurrent) const
{
  const auto it = std::ranges::find(aCurrent.mKeys, mKey.mName, &IssuedKey::mName);
  if (it != aCurrent.mKeys.end()) {
    if (it->mHash == mKey.mHash) {
      return std::nullopt;
    }
    throw UnknownNameError("key name '" + mKey.mName + "' is taken");
  }
  if (!DeclaresAccount(aCurrent.mCatalogue, mKey.mAccount)) {
    throw UnknownNameError("client account '" + mKey.mAccount.Str() +
                           "' is not declared");
  }
  Configuration wanted = aCurrent;
  wanted.mKeys.push_back(mKey);
  return wanted;
}

WithdrawKey::WithdrawKey(std::string aName)
  : mName(std::move(aName))
{
}

std::optional<Configuration> WithdrawKey::operator()(const Configuration& aCurrent)
{
  Configuration wanted = aCurrent;
  const auto erased = std::erase_if(
    wanted.mKeys, [&](const IssuedKey& aKey) { return aKey.mName == mName; });
  if (erased == 0 && !mSeen) {
    throw UnknownNameError("no key is named '" + mName + "'");
  }
  mSeen = true;
  if (erased == 0) {
    return std::nullopt;
  }
  return wanted;
}

SetAvailabilityZoneOut::SetAvailabilityZoneOut(ids::AvailabilityZoneId aName, bool aOut)
  : mName(std::move(aName))
  , mOut(aOut)
{
}

std::optional<Configuration> SetAvailabilityZoneOut::operator()(
  const Configuration& aCurrent) const
{
  Configuration wanted = aCurrent;
  std::vector<AvailabilityZone>& zones = wanted.mCatalogue.mAvailabilityZones;
  const auto it = std::ranges::find(zones, mName, &AvailabilityZone::mName);
  if (it == zones.end()) {
    throw UnknownNameError("availability zone '" + mName.Str() + "' is not declared");
  }
  if (it->mOut == mOut) {
    return std::nullopt;
  }
  it->mOut = mOut;
  return wanted;
}

}
