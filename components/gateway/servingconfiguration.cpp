#include "components/gateway/servingconfiguration.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace samphiresail::gateway {

namespace {

/// A route is latency-tolerant if its target latency is at least this many times the
/// shortest one of its services.
constexpr int kLatencyTolerantFactor = 2;

/// Priority and target latency; the smallest value is the most urgent one.
using Urgency = std::pair<int, std::chrono::milliseconds>;

}

void ServingConfiguration::Index()
{
  mRoutesOfHost.clear();
  mServiceByName.clear();
  mAccountByKey.clear();
  for (std::size_t i = 0; i < mRoutes.size(); ++i) {
    // An empty prefix would match every path, and an empty host requests without one.
    if (!mRoutes[i].mHost.empty() && !mRoutes[i].mPathPrefix.empty()) {
      mRoutesOfHost[mRoutes[i].mHost].push_back(i);
    }
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
      // Requests without a key must not belong to an account.
      if (!key.empty()) {
        mAccountByKey.emplace(key, i);
      }
    }
  }
  RankRoutes();
}

void ServingConfiguration::RankRoutes()
{
  std::unordered_map<ids::ServiceId, std::set<std::chrono::milliseconds>> targets;
  for (const Route& route : mRoutes) {
    for (const ServiceShare& share : route.mServices) {
      if (route.mTargetLatency.count() > 0) {
        targets[share.mService].insert(route.mTargetLatency);
      }
    }
  }
  std::unordered_map<ids::ServiceId, std::set<Urgency>> urgencies;
  for (Route& route : mRoutes) {
    route.mTightestTarget = route.mTargetLatency;
    for (const ServiceShare& share : route.mServices) {
      if (const auto it = targets.find(share.mService); it != targets.end()) {
        route.mTightestTarget = std::min(route.mTightestTarget, *it->second.begin());
      }
    }
    route.mLatencyTolerant =
      route.mTightestTarget.count() > 0 &&
      route.mTargetLatency >= kLatencyTolerantFactor * route.mTightestTarget;
    if (!route.mLatencyTolerant) {
      for (const ServiceShare& share : route.mServices) {
        urgencies[share.mService].emplace(route.mPriority, route.mTargetLatency);
      }
    }
  }
  for (Route& route : mRoutes) {
    route.mUrgencyRank = 0;
    for (const ServiceShare& share : route.mServices) {
      const auto& known = urgencies[share.mService];
      const auto it = known.lower_bound({ route.mPriority, route.mTargetLatency });
      route.mUrgencyRank = std::max(
        route.mUrgencyRank, static_cast<unsigned>(std::distance(known.begin(), it)));
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

ServingConfiguration WithoutWithdrawn(const ServingConfiguration& aInForce,
                                      const ServingConfiguration& aNewer)
{
  ServingConfiguration reduced = aInForce;
  for (ClientAccount& account : reduced.mAccounts) {
    std::erase_if(account.mKeys, [&](const std::string& aKey) {
      const ClientAccount* holder = aNewer.FindAccountOfKey(aKey);
      return holder == nullptr || holder->mName != account.mName;
    });
  }
  std::set<std::pair<std::string_view, std::string_view>> publicRoutes;
  for (const Route& route : aNewer.mRoutes) {
    if (route.mPublic) {
      publicRoutes.emplace(route.mHost, route.mPathPrefix);
    }
  }
  for (Route& route : reduced.mRoutes) {
    route.mPublic =
      route.mPublic && publicRoutes.contains({ route.mHost, route.mPathPrefix });
  }
  reduced.Index();
  return reduced;
}

}
