#include "components/configurationcheck/servingdiff.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <sstream>
#include <unordered_map>
#include <utility>

#include "components/configurationcheck/findingkinds.hpp"

namespace samphiresail::configurationcheck {

namespace {

using gateway::RequestKind;
using gateway::ServingConfiguration;

std::string Quote(const std::string& aText)
{
  return "'" + aText + "'";
}

std::string Show(double aNumber)
{
  std::ostringstream text;
  text.precision(std::numeric_limits<double>::digits10);
  text << aNumber;
  return text.str();
}

std::string Show(std::chrono::milliseconds aTime)
{
  return std::to_string(aTime.count()) + " ms";
}

std::string Show(int aNumber)
{
  return std::to_string(aNumber);
}

std::string Show(bool aFlag)
{
  return aFlag ? "yes" : "no";
}

std::string Show(const std::string& aText)
{
  return Quote(aText);
}

std::string Show(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Idempotent:
      return "may run again";
    case RequestKind::Stream:
      return "stream";
    case RequestKind::Irreversible:
      break;
  }
  return "runs at most once";
}

std::string Show(const std::optional<int>& aPriority)
{
  return aPriority ? std::to_string(*aPriority) : "that of the route";
}

/// Compares the services by their share of the requests, so that the weights 1 and 1
/// equal 50 and 50.
std::string Show(const std::vector<gateway::ServiceShare>& aShares)
{
  constexpr double kPercent = 100.0;
  constexpr double kTenths = 10.0;
  std::map<std::string, double> weights;
  double total = 0.0;
  for (const gateway::ServiceShare& share : aShares) {
    weights[share.mService.Str()] += share.mWeight;
    total += share.mWeight;
  }
  std::string text;
  for (const auto& [service, weight] : weights) {
    const double percent = total > 0 ? kPercent * weight / total : 0.0;
    text += (text.empty() ? "" : ", ") + service + " " +
            Show(std::round(percent * kTenths) / kTenths) + " %";
  }
  return text.empty() ? "none" : text;
}

/// Collects the changed fields of one entry as text.
class FieldChanges
{
public:
  template<typename Value>
  bool Compare(const char* aName, const Value& aBefore, const Value& aAfter)
  {
    const std::string before = Show(aBefore);
    const std::string after = Show(aAfter);
    if (before == after) {
      return false;
    }
    mText +=
      (mText.empty() ? "" : "; ") + std::string(aName) + " " + before + " -> " + after;
    return true;
  }
  const std::string& Text() const { return mText; }

private:
  std::string mText;
};

class ServingDiff
{
public:
  ServingDiff(const ServingConfiguration& aBefore, const ServingConfiguration& aAfter)
    : mBefore(aBefore)
    , mAfter(aAfter)
  {
  }

  std::vector<Difference> Run()
  {
    DiffRoutes();
    DiffServices();
    DiffAccounts();
    DiffLimits();
    return std::move(mDifferences);
  }

private:
  using RouteTable = std::map<std::pair<std::string, std::string>, const gateway::Route*>;

  void Add(std::string_view aKind,
           std::string aSubject,
           std::string aText,
           std::string aEffect = {})
  {
    mDifferences.push_back(
      { std::string(aKind), std::move(aSubject), std::move(aText), std::move(aEffect) });
  }

  /// Of routes with the same host and prefix, the first one counts.
  static RouteTable TableOf(const ServingConfiguration& aConfiguration)
  {
    RouteTable table;
    for (const gateway::Route& route : aConfiguration.mRoutes) {
      table.try_emplace({ route.mHost, route.mPathPrefix }, &route);
    }
    return table;
  }

  static std::string Subject(const gateway::Route& aRoute)
  {
    return "route " + aRoute.mHost + aRoute.mPathPrefix;
  }

  void DiffRoutes()
  {
    const RouteTable before = TableOf(mBefore);
    const RouteTable after = TableOf(mAfter);
    for (const auto& [match, route] : before) {
      const auto it = after.find(match);
      if (it != after.end()) {
        DiffRoute(*route, *it->second);
        continue;
      }
      const gateway::Route* next = mAfter.FindRoute(match.first, match.second);
      Add(kinds::kRouteDropped,
          Subject(*route),
          "removed",
          next == nullptr ? "its requests are answered with 404"
                          : "its requests go to " + Subject(*next));
    }
    for (const auto& [match, route] : after) {
      if (!before.contains(match)) {
        const gateway::Route* last = mBefore.FindRoute(match.first, match.second);
        Add({},
            Subject(*route),
            "added",
            last == nullptr ? "" : "takes requests that " + Subject(*last) + " had");
      }
    }
  }

  void DiffRoute(const gateway::Route& aBefore, const gateway::Route& aAfter)
  {
    FieldChanges changes;
    std::vector<std::string> effects;
    const auto note = [&](bool aNotable, const char* aEffect) {
      if (aNotable) {
        effects.emplace_back(aEffect);
      }
    };
    changes.Compare("name", aBefore.mName, aAfter.mName);
    note(changes.Compare("kind", aBefore.mKind, aAfter.mKind) ||
           aBefore.mResumable != aAfter.mResumable,
         aAfter.IsRetryable() ? "requests may run more than once"
                              : "requests are not repeated once they may have run");
    changes.Compare("resumable", aBefore.mResumable, aAfter.mResumable);
    note(changes.Compare("timeout", aBefore.mTimeout, aAfter.mTimeout) &&
           aAfter.mTimeout.count() > 0 &&
           (aBefore.mTimeout.count() == 0 || aAfter.mTimeout < aBefore.mTimeout),
         "requests end earlier");
    changes.Compare("target latency", aBefore.mTargetLatency, aAfter.mTargetLatency);
    changes.Compare("longest pause", aBefore.mGapAim, aAfter.mGapAim);
    note(changes.Compare("priority", aBefore.mPriority, aAfter.mPriority) &&
           aAfter.mPriority > aBefore.mPriority,
         "requests are less urgent");
    changes.Compare(
      "attempts", double(aBefore.mMaxAttempts), double(aAfter.mMaxAttempts));
    changes.Compare("services", aBefore.mServices, aAfter.mServices);
    const bool keyNeeded = aBefore.mPublic && !aAfter.mPublic;
    changes.Compare("public", aBefore.mPublic, aAfter.mPublic);
    note(keyNeeded, EffectOfClosing());
    if (!changes.Text().empty()) {
      Add(keyNeeded ? kinds::kRouteClosed : std::string_view(),
          Subject(aAfter),
          changes.Text(),
          Join(effects));
    }
  }

  /// Without accounts routes that are not public are open only if no version ever held
  /// any, which two versions do not tell.
  const char* EffectOfClosing() const
  {
    if (!mAfter.mAccounts.empty()) {
      return "requests without a key are answered with 401";
    }
    return mBefore.mAccounts.empty()
             ? "requests are answered with 401 if any version ever held an account"
             : "requests are answered with 401";
  }

  static std::string Join(const std::vector<std::string>& aTexts)
  {
    std::string text;
    for (const std::string& it : aTexts) {
      text += (text.empty() ? "" : "; ") + it;
    }
    return text;
  }

  template<typename Entry>
  static std::map<std::string, const Entry*> ByName(const std::vector<Entry>& aEntries)
  {
    std::map<std::string, const Entry*> table;
    for (const Entry& entry : aEntries) {
      table.try_emplace(entry.mName.Str(), &entry);
    }
    return table;
  }

  void DiffServices()
  {
    const auto before = ByName(mBefore.mServices);
    const auto after = ByName(mAfter.mServices);
    for (const auto& [name, service] : before) {
      const std::string subject = "service " + Quote(name);
      const auto it = after.find(name);
      const gateway::Service none;
      if (it == after.end()) {
        Add({}, subject, "removed");
      }
      DiffModels(subject, *service, it == after.end() ? none : *it->second);
      if (it != after.end()) {
        DiffService(subject, *service, *it->second);
      }
    }
    for (const auto& [name, service] : after) {
      if (!before.contains(name)) {
        Add({}, "service " + Quote(name), "added");
      }
    }
  }

  void DiffService(const std::string& aSubject,
                   const gateway::Service& aBefore,
                   const gateway::Service& aAfter)
  {
    FieldChanges changes;
    changes.Compare(
      "connections", double(aBefore.mMaxConnections), double(aAfter.mMaxConnections));
    changes.Compare(
      "requests a second in cold start", aBefore.mColdPerSecond, aAfter.mColdPerSecond);
    changes.Compare("engine", aBefore.mEngine.has_value(), aAfter.mEngine.has_value());
    if (aBefore.mEngine && aAfter.mEngine) {
      const gateway::EngineSpec& before = *aBefore.mEngine;
      const gateway::EngineSpec& after = *aAfter.mEngine;
      changes.Compare("slots", double(before.mSlots), double(after.mSlots));
      changes.Compare("memory", before.mMemoryMb, after.mMemoryMb);
      changes.Compare("memory in tokens", before.mMemoryTokens, after.mMemoryTokens);
      changes.Compare(
        "adapter slots", double(before.mAdapterSlots), double(after.mAdapterSlots));
      changes.Compare("loads a second", before.mLoadsPerSecond, after.mLoadsPerSecond);
      const auto known = ByName(before.mModels);
      for (const auto& [name, model] : ByName(after.mModels)) {
        const auto it = known.find(name);
        if (it == known.end()) {
          Add({}, aSubject, "model " + Quote(name) + " added");
        } else {
          const std::string what = "model " + Quote(name) + " ";
          changes.Compare(
            (what + "memory").c_str(), it->second->mMemoryMb, model->mMemoryMb);
          changes.Compare(
            (what + "adapter memory").c_str(), it->second->mAdapterMb, model->mAdapterMb);
          changes.Compare(
            (what + "load time").c_str(), it->second->mLoadTime, model->mLoadTime);
          if (model->mAdapters > it->second->mAdapters) {
            changes.Compare((what + "adapters").c_str(),
                            double(it->second->mAdapters),
                            double(model->mAdapters));
          }
        }
      }
    }
    if (!changes.Text().empty()) {
      Add({}, aSubject, changes.Text());
    }
  }

  /// Adds the models and adapters that a service no longer has.
  void DiffModels(const std::string& aSubject,
                  const gateway::Service& aBefore,
                  const gateway::Service& aAfter)
  {
    if (!aBefore.mEngine) {
      return;
    }
    const gateway::EngineSpec none;
    const auto after = ByName(aAfter.mEngine ? aAfter.mEngine->mModels : none.mModels);
    for (const auto& [name, model] : ByName(aBefore.mEngine->mModels)) {
      const auto it = after.find(name);
      if (it == after.end()) {
        Add(kinds::kModelDropped,
            aSubject,
            "model " + Quote(name) + " removed",
            "requests for it are not served");
      } else if (it->second->mAdapters < model->mAdapters) {
        Add(kinds::kModelDropped,
            aSubject,
            "model " + Quote(name) + " adapters " + std::to_string(model->mAdapters) +
              " -> " + std::to_string(it->second->mAdapters),
            "requests for the last ones are not served");
      }
    }
  }

  void DiffAccounts()
  {
    if (mBefore.mAccounts.empty() && !mAfter.mAccounts.empty() &&
        !std::ranges::all_of(mAfter.mRoutes, &gateway::Route::mPublic)) {
      Add(kinds::kRouteClosed,
          "accounts",
          "there were none",
          "routes that are not public need a key");
    }
    if (!mBefore.mAccounts.empty() && mAfter.mAccounts.empty() &&
        !std::ranges::all_of(mAfter.mRoutes, &gateway::Route::mPublic)) {
      Add(kinds::kRouteClosed,
          "accounts",
          "none is left",
          "all requests of routes that are not public are answered with 401");
    }
    const auto before = ByName(mBefore.mAccounts);
    const auto after = ByName(mAfter.mAccounts);
    for (const auto& [name, account] : before) {
      const std::string subject = "account " + Quote(name);
      const auto it = after.find(name);
      if (it == after.end()) {
        Add({}, subject, "removed");
      } else {
        DiffQuota(subject, *account, *it->second);
      }
      DiffKeys(subject, *account);
    }
    for (const auto& [name, account] : after) {
      const auto it = before.find(name);
      const std::string subject = "account " + Quote(name);
      if (it == before.end()) {
        Add({}, subject, "added with " + Count(account->mKeys.size(), "key"));
        continue;
      }
      const auto known =
        std::set<std::string>(it->second->mKeys.begin(), it->second->mKeys.end());
      const auto added = std::ranges::count_if(
        account->mKeys, [&](const std::string& aKey) { return !known.contains(aKey); });
      if (added > 0) {
        Add({}, subject, Count(static_cast<std::size_t>(added), "key") + " added");
      }
    }
  }

  static std::string Count(std::size_t aCount, const std::string& aWhat)
  {
    return std::to_string(aCount) + " " + aWhat + (aCount == 1 ? "" : "s");
  }

  /// Compares the accounts to which requests with the keys of an account belong. The
  /// texts name no key, since they are secrets.
  void DiffKeys(const std::string& aSubject, const gateway::ClientAccount& aBefore)
  {
    std::size_t withdrawn = 0;
    std::map<std::string, std::size_t> moved;
    for (const std::string& key :
         std::set<std::string>(aBefore.mKeys.begin(), aBefore.mKeys.end())) {
      if (key.empty()) {
        continue;
      }
      const gateway::ClientAccount* holder = mAfter.FindAccountOfKey(key);
      if (holder == nullptr) {
        ++withdrawn;
      } else if (holder->mName != aBefore.mName) {
        ++moved[holder->mName.Str()];
      }
    }
    if (withdrawn > 0) {
      Add(kinds::kKeysWithdrawn,
          aSubject,
          Count(withdrawn, "key") + " withdrawn",
          "requests with them are answered with 401");
    }
    for (const auto& [name, count] : moved) {
      Add({},
          aSubject,
          Count(count, "key") + " moved to account " + Quote(name),
          "requests with them count against that quota");
    }
  }

  void DiffQuota(const std::string& aSubject,
                 const gateway::ClientAccount& aBefore,
                 const gateway::ClientAccount& aAfter)
  {
    const auto rate = [](const gateway::ClientAccount& aAccount) {
      return aAccount.mTokensPerSecond == 0 ? std::numeric_limits<double>::infinity()
                                            : aAccount.mTokensPerSecond;
    };
    const bool limited = aAfter.mTokensPerSecond > 0;
    FieldChanges changes;
    bool lowered = changes.Compare("rate", rate(aBefore), rate(aAfter)) &&
                   rate(aAfter) < rate(aBefore);
    lowered |= changes.Compare("burst", aBefore.mBurstTokens, aAfter.mBurstTokens) &&
               limited && aAfter.mBurstTokens < aBefore.mBurstTokens;
    lowered |= changes.Compare("tokens of a request that states none",
                               aBefore.mPlainTokens,
                               aAfter.mPlainTokens) &&
               limited && aAfter.mPlainTokens > aBefore.mPlainTokens;
    changes.Compare("priority", aBefore.mPriority, aAfter.mPriority);
    if (!changes.Text().empty()) {
      Add(lowered ? kinds::kQuotaLowered : std::string_view(),
          aSubject,
          changes.Text(),
          lowered ? "requests beyond it are answered with 429" : "");
    }
  }

  void DiffLimits()
  {
    const gateway::CallerLimits& before = mBefore.mLimits;
    const gateway::CallerLimits& after = mAfter.mLimits;
    FieldChanges changes;
    bool lowered = false;
    const auto compare = [&](const char* aName, auto aOld, auto aNew, auto aShow) {
      lowered |= changes.Compare(aName, aShow(aOld), aShow(aNew)) && aNew < aOld;
    };
    const auto bytes = [](auto aCount) { return static_cast<double>(aCount); };
    compare("header bytes", before.mMaxHeaderBytes, after.mMaxHeaderBytes, bytes);
    compare("body bytes", before.mMaxBodyBytes, after.mMaxBodyBytes, bytes);
    compare(
      "header timeout", before.mHeaderTimeout, after.mHeaderTimeout, std::identity());
    compare("idle timeout", before.mIdleTimeout, after.mIdleTimeout, std::identity());
    if (!changes.Text().empty()) {
      Add(lowered ? kinds::kCallerLimitLowered : std::string_view(),
          "limits",
          changes.Text(),
          lowered ? "requests beyond them are refused or closed" : "");
    }
  }

  const ServingConfiguration& mBefore;
  const ServingConfiguration& mAfter;
  std::vector<Difference> mDifferences;
};

}

std::vector<Difference> DiffServingConfigurations(const ServingConfiguration& aBefore,
                                                  const ServingConfiguration& aAfter)
{
  return ServingDiff(aBefore, aAfter).Run();
}

}
