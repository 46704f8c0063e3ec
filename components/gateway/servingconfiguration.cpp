#include "components/gateway/servingconfiguration.hpp"

#include <algorithm>

namespace samphiresail::gateway {

void ServingConfiguration::Index()
{
  for (std::size_t i = 0; i < mRoutes.size(); ++i) {
    mRoutesOfHost[mRoutes[i].mHost].push_back(i);
  }
  for (auto& [host, routes] : mRoutesOfHost) {
    std::ranges::stable_sort(routes, std::ranges::greater{}, [this](std::size_t aRoute) {
      return mRoutes[aRoute].mPathPrefix.size();
    });
  }
  for (std::size_t i = 0; i < mServices.size(); ++i) {
    mServiceByName.emplace(mServices[i].mName, i);
  }
  for (std::size_t i = 0; i < mAccounts.size(); ++i) {
    for (const std::string& key : mAccounts[i].mKeys) {
      mAccountByKey.emplace(key, i);
    }
  }
}

const Route* ServingConfiguration::FindRoute(std::string_view aHost,
                                             std::string_view aPath) const
{
  const auto routes = mRoutesOfHost.find(std::string(aHost));
  if (routes == mRoutesOfHost.end()) {
    return nullptr;
  }
  const auto it = std::ranges::find_if(routes->second, [&](std::size_t aRoute) {
    return aPath.starts_with(mRoutes[aRoute].mPathPrefix);
  });
  return it == routes->second.end() ? nullptr : &mRoutes[*it];
}

const Service* ServingConfiguration::FindService(const ids::ServiceId& aName) const
{
  const auto it = mServiceByName.find(aName);
  return it == mServiceByName.end() ? nullptr : &mServices[it->second];
}

const ClientAccount* ServingConfiguration::FindAccount(
  const ids::ClientAccountId& aName) const
{
  const auto it = std::ranges::find(mAccounts, aName, &ClientAccount::mName);
  return it == mAccounts.end() ? nullptr : &*it;
}

const ClientAccount* ServingConfiguration::FindAccountOfKey(const std::string& aKey) const
{
  const auto it = mAccountByKey.find(aKey);
  return it == mAccountByKey.end() ? nullptr : &mAccounts[it->second];
}

}
