#include "components/configurationcheck/servingcheck.hpp"

#include <algorithm>
#include <chrono>
#include <limits>
#include <sstream>
#include <unordered_map>
#include <utility>

#include "components/configurationcheck/findingkinds.hpp"

namespace samphiresail::configurationcheck {

namespace {

using Field = ServingField;
using gateway::ServingConfiguration;

std::string Quote(const std::string& aText)
{
  return "'" + aText + "'";
}

std::string Describe(double aNumber)
{
  std::ostringstream text;
  text.precision(std::numeric_limits<double>::digits10);
  text << aNumber;
  return text.str();
}

std::string Describe(std::chrono::milliseconds aTime)
{
  return std::to_string(aTime.count()) + " ms";
}

/// Finds faults in the tables of one configuration.
class ServingCheck
{
public:
  ServingCheck(const ServingConfiguration& aConfiguration,
               const std::optional<gateway::WindowedRetryBudgetLimits>& aBudget)
    : mConfiguration(aConfiguration)
    , mBudget(aBudget)
  {
  }

  std::vector<ServingFinding> Run()
  {
    for (std::size_t i = 0; i < mConfiguration.mRoutes.size(); ++i) {
      CheckMatch(i);
      CheckServices(i);
      CheckTimes(i);
      CheckAttempts(i);
    }
    CheckNames(mConfiguration.mServices, Field::ServiceName, "service");
    for (std::size_t i = 0; i < mConfiguration.mServices.size(); ++i) {
      if (mConfiguration.mServices[i].mEngine) {
        CheckEngine(i, *mConfiguration.mServices[i].mEngine);
      }
    }
    CheckNames(mConfiguration.mAccounts, Field::AccountName, "account");
    for (std::size_t i = 0; i < mConfiguration.mAccounts.size(); ++i) {
      CheckKeys(i);
      CheckQuota(i);
    }
    return std::move(mFindings);
  }

private:
  void Add(std::string_view aKind,
           ServingPlace aPlace,
           std::string aText,
           std::vector<ServingPlace> aBasis = {})
  {
    mFindings.push_back({ aKind, aPlace, std::move(aText), std::move(aBasis) });
  }

  /// An entry takes the route with the longest prefix of the path, so that only a route
  /// with the same prefix shadows another one. It compares hosts in lower case and
  /// without their port, and paths without their query.
  void CheckMatch(std::size_t aRoute)
  {
    const gateway::Route& route = mConfiguration.mRoutes[aRoute];
    const ServingPlace host{ Field::RouteHost, aRoute };
    const ServingPlace path{ Field::RoutePathPrefix, aRoute };
    std::string match = route.mHost;
    match.push_back('\0');
    match += route.mPathPrefix;
    const auto [it, first] = mRouteByMatch.emplace(std::move(match), aRoute);
    if (!first) {
      const gateway::Route& other = mConfiguration.mRoutes[it->second];
      Add(kinds::kShadowedRoute,
          path,
          "route " + Quote(route.mName) + " never matches: route " + Quote(other.mName) +
            " has the same host " + Quote(route.mHost) + " and prefix " +
            Quote(route.mPathPrefix) + " and stands first",
          { host,
            { Field::RouteHost, it->second },
            { Field::RoutePathPrefix, it->second } });
    }
    const auto neverInHost = [](unsigned char aChar) {
      return (aChar >= 'A' && aChar <= 'Z') || aChar <= ' ' || aChar == ':';
    };
    if (route.mHost.empty() || std::ranges::any_of(route.mHost, neverInHost)) {
      Add(kinds::kUnmatchableHost,
          host,
          "no request has the host " + Quote(route.mHost) +
            ": hosts are compared in lower case and without their port");
    }
    const auto neverInPath = [](unsigned char aChar) {
      return aChar <= ' ' || aChar == '?';
    };
    const bool isPath = route.mPathPrefix.starts_with('/');
    if (!isPath || std::ranges::any_of(route.mPathPrefix, neverInPath)) {
      Add(kinds::kUnmatchablePath,
          path,
          "no request's path begins with " + Quote(route.mPathPrefix) + ": " +
            (isPath ? "paths are compared without their query and have no spaces"
                    : "a path begins with '/'"));
    }
  }

  void CheckServices(std::size_t aRoute)
  {
    const gateway::Route& route = mConfiguration.mRoutes[aRoute];
    if (route.mServices.empty()) {
      Add(kinds::kRouteWithoutService,
          { Field::RouteServices, aRoute },
          "route " + Quote(route.mName) +
            " names no service; all its requests are answered with 503");
    }
    const bool allZero = std::ranges::all_of(
      route.mServices, [](const auto& aShare) { return aShare.mWeight == 0; });
    for (std::size_t i = 0; i < route.mServices.size(); ++i) {
      const auto& [service, weight] = route.mServices[i];
      if (mConfiguration.FindService(service) == nullptr) {
        Add(kinds::kUnknownService,
            { Field::RouteService, aRoute, i },
            "service " + Quote(service.Str()) + " is not declared; requests of route " +
              Quote(route.mName) + " to it are answered with 503");
      }
      if (weight == 0) {
        Add(kinds::kZeroWeight,
            { Field::RouteWeight, aRoute, i },
            "service " + Quote(service.Str()) + " has the weight 0 in route " +
              Quote(route.mName) +
              (allZero ? ", as all of them; all requests are answered with 503"
                       : " and gets no requests"));
      }
    }
  }

  void CheckTimes(std::size_t aRoute)
  {
    const gateway::Route& route = mConfiguration.mRoutes[aRoute];
    const ServingPlace timeout{ Field::RouteTimeout, aRoute };
    if (route.mTimeout.count() == 0) {
      return;
    }
    if (route.mTargetLatency > route.mTimeout) {
      Add(kinds::kTargetAboveTimeout,
          { Field::RouteTargetLatency, aRoute },
          "route " + Quote(route.mName) + ": the target latency " +
            Describe(route.mTargetLatency) + " is above the timeout " +
            Describe(route.mTimeout),
          { timeout });
    }
    if (route.mGapAim > route.mTimeout) {
      Add(kinds::kPauseAboveTimeout,
          { Field::RouteLongestPause, aRoute },
          "route " + Quote(route.mName) + ": the longest pause " +
            Describe(route.mGapAim) + " is above the timeout " + Describe(route.mTimeout),
          { timeout });
    }
  }

  void CheckAttempts(std::size_t aRoute)
  {
    const gateway::Route& route = mConfiguration.mRoutes[aRoute];
    const ServingPlace place{ Field::RouteMaxAttempts, aRoute };
    if (route.mMaxAttempts == 0) {
      Add(kinds::kNoAttempts,
          place,
          "route " + Quote(route.mName) +
            " allows 0 attempts; an entry still sends the first one");
      return;
    }
    const unsigned retries = route.mMaxAttempts - 1;
    const auto begin = route.mTargetLatency * retries;
    if (route.mTimeout.count() > 0 && route.mTargetLatency <= route.mTimeout &&
        begin > route.mTimeout) {
      Add(kinds::kAttemptsBeyondTimeout,
          place,
          "route " + Quote(route.mName) + ": if each attempt takes the target latency " +
            Describe(route.mTargetLatency) + ", attempt " +
            std::to_string(route.mMaxAttempts) + " begins after " + Describe(begin) +
            ", beyond the timeout " + Describe(route.mTimeout),
          { { Field::RouteTargetLatency, aRoute }, { Field::RouteTimeout, aRoute } });
    }
    const std::optional<double> allowed = AllowedRetries(route.mPublic);
    if (allowed && retries > *allowed) {
      Add(kinds::kAttemptsBeyondBudget,
          place,
          "route " + Quote(route.mName) + " allows " + std::to_string(retries) +
            " retries of a request; the retry budget of a window is at most " +
            Describe(*allowed));
    }
  }

  /// Returns the most retries that the budget allows in a window if one entry gets all
  /// requests that the accounts' quotas admit; nothing if the budget is not known or no
  /// quota bounds the requests.
  std::optional<double> AllowedRetries(bool aPublic)
  {
    if (!mBudget) {
      return std::nullopt;
    }
    double requests = 0.0;
    if (mBudget->mRatio > 0) {
      if (aPublic || mConfiguration.mAccounts.empty()) {
        return std::nullopt;
      }
      if (!mQuotaRequests) {
        mQuotaRequests = QuotaRequests();
      }
      requests = *mQuotaRequests;
    }
    return gateway::WindowedRetryBudget::kUsedFraction *
           (mBudget->mRatio * requests + mBudget->mSlack);
  }

  /// Returns the requests of a window that the quotas admit if each has one token.
  double QuotaRequests() const
  {
    const double window = std::chrono::duration<double>(mBudget->mWindow).count();
    double requests = 0.0;
    for (const gateway::ClientAccount& account : mConfiguration.mAccounts) {
      if (account.mTokensPerSecond == 0) {
        return std::numeric_limits<double>::infinity();
      }
      requests += account.mTokensPerSecond * window + account.mBurstTokens;
    }
    return requests;
  }

  template<typename Entry>
  void CheckNames(const std::vector<Entry>& aEntries, Field aField, const char* aWhat)
  {
    std::unordered_map<std::string, std::size_t> seen;
    for (std::size_t i = 0; i < aEntries.size(); ++i) {
      const auto [it, first] = seen.emplace(aEntries[i].mName.Str(), i);
      if (!first) {
        Add(kinds::kDuplicateName,
            { aField, i },
            std::string(aWhat) + " " + Quote(it->first) +
              " stands twice; only the first one is used",
            { { aField, it->second } });
      }
    }
  }

  void CheckEngine(std::size_t aService, const gateway::EngineSpec& aEngine)
  {
    const ServingPlace memory{ Field::EngineMemory, aService };
    std::vector<ServingPlace> basis{ memory, { Field::EngineAdapterSlots, aService } };
    // The planner keeps room for the largest adapter in each slot.
    double reserve = 0.0;
    for (std::size_t i = 0; i < aEngine.mModels.size(); ++i) {
      const gateway::ModelSpec& model = aEngine.mModels[i];
      if (model.mAdapters > 0) {
        reserve = std::max(reserve, model.mAdapterMb * aEngine.mAdapterSlots);
      }
    }
    std::unordered_map<std::string, std::size_t> seen;
    for (std::size_t i = 0; i < aEngine.mModels.size(); ++i) {
      const gateway::ModelSpec& model = aEngine.mModels[i];
      const std::string what = "model " + Quote(model.mName.Str());
      const ServingPlace modelMemory{ Field::ModelMemory, aService, i };
      const auto [it, first] = seen.emplace(model.mName.Str(), i);
      if (!first) {
        Add(kinds::kDuplicateName,
            { Field::ModelName, aService, i },
            what + " stands twice; only the first one is used",
            { { Field::ModelName, aService, it->second } });
      }
      if (model.mMemoryMb > aEngine.mMemoryMb) {
        Add(kinds::kModelTooLarge,
            modelMemory,
            what + " needs " + Describe(model.mMemoryMb) +
              " MB; an endpoint of its service has " + Describe(aEngine.mMemoryMb),
            { memory });
      } else if (model.mMemoryMb + reserve > aEngine.mMemoryMb) {
        Add(kinds::kAdapterTooLarge,
            modelMemory,
            what + " needs " + Describe(model.mMemoryMb) + " MB beside the " +
              Describe(reserve) +
              " MB that are kept for adapters; an endpoint of its service has " +
              Describe(aEngine.mMemoryMb),
            basis);
      }
      if (model.mAdapters > 0 && aEngine.mAdapterSlots == 0) {
        Add(kinds::kAdapterWithoutSlot,
            { Field::ModelAdapters, aService, i },
            what + " has adapters; an endpoint of its service holds none",
            { { Field::EngineAdapterSlots, aService } });
      }
    }
  }

  /// The texts name no key, since they are secrets.
  void CheckKeys(std::size_t aAccount)
  {
    const gateway::ClientAccount& account = mConfiguration.mAccounts[aAccount];
    const std::string what = "account " + Quote(account.mName.Str());
    if (account.mKeys.empty()) {
      Add(kinds::kAccountWithoutKeys,
          { Field::AccountKeys, aAccount },
          what + " has no keys; no request can belong to it");
    }
    for (std::size_t i = 0; i < account.mKeys.size(); ++i) {
      const ServingPlace place{ Field::AccountKey, aAccount, i };
      if (account.mKeys[i].empty()) {
        Add(kinds::kEmptyKey, place, what + " has an empty key; no request can use it");
      }
      const auto [it, first] = mAccountByKey.emplace(account.mKeys[i], aAccount);
      if (!first) {
        const auto& holder = mConfiguration.mAccounts[it->second].mName;
        Add(kinds::kDuplicateKey,
            place,
            "the key of " + what + " stands in account " + Quote(holder.Str()) +
              " before; requests with it belong to that one");
      }
    }
  }

  void CheckQuota(std::size_t aAccount)
  {
    const gateway::ClientAccount& account = mConfiguration.mAccounts[aAccount];
    const std::string what = "account " + Quote(account.mName.Str());
    const ServingPlace request{ Field::AccountPlainTokens, aAccount };
    const ServingPlace rate{ Field::AccountRate, aAccount };
    if (account.mTokensPerSecond == 0) {
      return;
    }
    const std::string needs =
      "; a request that states no tokens needs " + Describe(account.mPlainTokens);
    if (account.mBurstTokens < account.mPlainTokens) {
      Add(kinds::kBurstBelowRequest,
          { Field::AccountBurst, aAccount },
          what + " has a burst of " + Describe(account.mBurstTokens) + needs,
          { request, rate });
    }
    if (account.mTokensPerSecond < account.mPlainTokens) {
      Add(kinds::kRateBelowRequest,
          rate,
          what + " has a rate of " + Describe(account.mTokensPerSecond) + " a second" +
            needs,
          { request });
    }
  }

  const ServingConfiguration& mConfiguration;
  const std::optional<gateway::WindowedRetryBudgetLimits>& mBudget;
  std::vector<ServingFinding> mFindings;
  std::unordered_map<std::string, std::size_t> mRouteByMatch;
  std::unordered_map<std::string, std::size_t> mAccountByKey;
  std::optional<double> mQuotaRequests;
};

}

std::vector<ServingFinding> CheckServingConfiguration(
  const ServingConfiguration& aConfiguration,
  const std::optional<gateway::WindowedRetryBudgetLimits>& aBudget)
{
  return ServingCheck(aConfiguration, aBudget).Run();
}

}
