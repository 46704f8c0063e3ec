#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_SERVINGCONFIGURATION_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_SERVINGCONFIGURATION_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "components/ids/ids.hpp"

namespace samphiresail::gateway {

/// Whether a request may run more than once.
enum class RequestKind
{
  /// May run any number of times.
  Idempotent,
  /// Runs at most once for each attempt of the caller.
  Irreversible,
  /// Streams events; may run again only if the route is resumable.
  Stream,
};

/// Weight of one service among those that serve a route.
struct ServiceShare
{
  ids::ServiceId mService;
  double mWeight{ 1.0 };
};

struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix;
  RequestKind mKind{ RequestKind::Irreversible };
  std::chrono::milliseconds mTimeout{ 0 };
  std::chrono::milliseconds mTargetLatency{ 0 };
  /// Longest pause between two events at which a streamed response counts as on time.
  std::chrono::milliseconds mGapAim{ 0 };
  /// Priority of the route; 0 is the most urgent.
  int mPriority{ 0 };
  std::vector<ServiceShare> mServices;
  /// Largest number of endpoints to which one attempt of the caller may be sent.
  unsigned mMaxAttempts{ 1 };
  bool mPublic{ false };
  bool mResumable{ false };
  // Set by ServingConfiguration::Index().
  /// The target latency leaves time to wait, compared with the other routes to the same
  /// services.
  bool mLatencyTolerant{ false };
  /// Number of different urgencies (priority and target latency) of the routes to the
  /// same services that are more urgent and not latency-tolerant.
  unsigned mUrgencyRank{ 0 };
  /// Shortest target latency of the routes to the same services; 0 if none states one.
  std::chrono::milliseconds mTightestTarget{ 0 };

  /// True if the request may run more than once.
  bool IsRetryable() const
  {
    return mKind == RequestKind::Idempotent ||
           (mKind == RequestKind::Stream && mResumable);
  }
};

struct ModelSpec
{
  ids::ModelId mName;
  double mMemoryMb{ 0.0 };
  double mAdapterMb{ 0.0 };
  /// Number of adapters; they are named a1, a2 and so on.
  unsigned mAdapters{ 0 };
  std::chrono::milliseconds mLoadTime{ 0 };
};

/// Capacity and models of every engine of a service.
struct EngineSpec
{
  unsigned mSlots{ 0 };
  double mMemoryMb{ 0.0 };
  unsigned mAdapterSlots{ 0 };
  /// Memory for running requests and kept prompts, in tokens; 0 if it is not known.
  double mMemoryTokens{ 0.0 };
  /// Loads a second that the weight store allows over all engines.
  double mLoadsPerSecond{ 0.0 };
  std::vector<ModelSpec> mModels;
};

struct Service
{
  ids::ServiceId mName;
  unsigned mMaxConnections{ 0 };
  /// Requests a second that an endpoint sustains in cold start; 0 for no limit.
  double mColdPerSecond{ 0.0 };
  std::optional<EngineSpec> mEngine;
};

struct ClientAccount
{
  ids::ClientAccountId mName;
  std::vector<std::string> mKeys;
  std::optional<int> mPriority;
  /// 0 for no limit.
  double mTokensPerSecond{ 0.0 };
  double mBurstTokens{ 0.0 };
  /// Tokens charged for a request that does not state its token counts.
  double mPlainTokens{ 1.0 };
};

/// Limits on the size and the duration of callers' requests.
struct CallerLimits
{
  std::uint32_t mMaxHeaderBytes{ 16384 };
  std::uint64_t mMaxBodyBytes{ 4194304 };
  std::chrono::milliseconds mHeaderTimeout{ 3000 };
  std::chrono::milliseconds mIdleTimeout{ 15000 };
};

/// One version of the operators' configuration, indexed for look-ups. Immutable once
/// built.
class ServingConfiguration
{
public:
  std::uint64_t mVersion{ 0 };
  std::vector<Route> mRoutes;
  std::vector<Service> mServices;
  std::vector<ClientAccount> mAccounts;
  CallerLimits mLimits;

  /// Builds the indexes; call after the tables were filled or changed.
  void Index();

  /// Returns the route of the host with the longest prefix of the path, or null.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;
  const Service* FindService(const ids::ServiceId& aName) const;
  const ClientAccount* FindAccount(const ids::ClientAccountId& aName) const;
  /// Returns the account that holds the key, or null.
  const ClientAccount* FindAccountOfKey(const std::string& aKey) const;

private:
  /// Sets what a route's urgency is relative to the other routes of its services.
  void RankRoutes();

  std::unordered_map<std::string, std::vector<std::size_t>> mRoutesOfHost;
  std::unordered_map<ids::ServiceId, std::size_t> mServiceByName;
  std::unordered_map<std::string, std::size_t> mAccountByKey;
};

/// Returns the configuration in force without what a newer one takes away that cannot be
/// adopted: the keys that it does not give to the same account, and access without a key
/// to the routes that it does not declare public.
ServingConfiguration WithoutWithdrawn(const ServingConfiguration& aInForce,
                                      const ServingConfiguration& aNewer);

}

#endif
