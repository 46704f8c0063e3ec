#include "apps/load/trials/routetrial.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "apps/load/trials/eventqueue.hpp"
#include "components/routing/baselinerouters.hpp"
#include "components/routing/poweroftworouter.hpp"

namespace samphiresail::load {

namespace {

using namespace std::chrono_literals;

constexpr timing::Duration kOneWay = 1500us;
constexpr std::uint32_t kSlots = 16;
constexpr double kServiceSeconds = 0.4;
/// Prefixes that the cache of an endpoint holds, and the part of the service time that a
/// cached prefix saves.
constexpr std::size_t kCachedPrefixes = 16;
constexpr double kPrefixSaving = 0.25;
const ids::ModelId kModel("model");
const ids::PoolId kPool("pool");

struct Work
{
  std::size_t mEntry{ 0 };
  std::uint64_t mPrefix{ 0 };
  double mSeconds{ 0.0 };
  timing::Instant mArrived;
};

struct Endpoint
{
  ids::EndpointId mName;
  double mSpeed{ 1.0 };
  std::uint32_t mInFlight{ 0 };
  std::deque<Work> mQueue;
  /// Least recently used first.
  std::deque<std::uint64_t> mCache;
};

template<typename R>
class RouteFleet
{
public:
  explicit RouteFleet(const RouteTrialOptions& aOptions)
    : mOptions(aOptions)
    , mGenerator(aOptions.mSeed)
    , mRouters(aOptions.mEntries)
  {
    for (std::size_t it = 0; it < aOptions.mEndpoints; ++it) {
      mEndpoints.push_back({ ids::EndpointId("endpoint-" + std::to_string(it)),
                             it < aOptions.mSlow ? 0.5 : 1.0,
                             0,
                             {},
                             {} });
    }
    for (std::size_t it = 0; it < aOptions.mEntries; ++it) {
      mTables.push_back(std::make_unique<routing::EndpointTable>());
      for (const Endpoint& endpoint : mEndpoints) {
        mTables.back()->Put(
          { endpoint.mName, kPool, ids::AvailabilityZoneId("zone"), "", {} });
        mTables.back()->ReportLoad(
          endpoint.mName, { .mInFlightLimit = kSlots }, mEvents.Now());
        mTables.back()->ReportModels(
          endpoint.mName, { { kModel, true, 0 } }, mEvents.Now());
      }
    }
  }

  RouteTrialResult Run()
  {
    mEnd = mEvents.Now() + std::chrono::seconds(mOptions.mSeconds);
    ScheduleArrival();
    mEvents.RunUntil(mEnd + 60s);
    RouteTrialResult result;
    result.mRequests = mWaits.size();
    std::ranges::sort(mWaits);
    result.mMedianWaitMs = mWaits.at(mWaits.size() / 2);
    result.mP99WaitMs = mWaits.at(mWaits.size() * 99 / 100);
    const auto inTime = std::ranges::upper_bound(mWaits, 300.0) - mWaits.begin();
    result.mInTime = static_cast<double>(inTime) / static_cast<double>(mWaits.size());
    result.mPrefixHits = static_cast<double>(mHits) / static_cast<double>(mWaits.size());
    return result;
  }

private:
  void ScheduleArrival()
  {
    double speed = 0.0;
    for (const Endpoint& endpoint : mEndpoints) {
      speed += endpoint.mSpeed;
    }
    std::exponential_distribution<double> gap(speed * kSlots / kServiceSeconds *
                                              mOptions.mLoad);
    mEvents.After(std::chrono::duration_cast<timing::Duration>(
                    std::chrono::duration<double>(gap(mGenerator))),
                  [this] {
                    if (mEvents.Now() < mEnd) {
                      Arrive();
                      ScheduleArrival();
                    }
                  });
  }

  void Arrive()
  {
    std::exponential_distribution<double> service(1.0 / kServiceSeconds);
    Work work;
    work.mEntry = mGenerator() % mOptions.mEntries;
    work.mPrefix = mOptions.mPrefixes == 0 ? 0 : 1 + mGenerator() % mOptions.mPrefixes;
    work.mSeconds = service(mGenerator);
    work.mArrived = mEvents.Now();
    auto& table = *mTables.at(work.mEntry);
    routing::RouteRequest request;
    request.mRequirement.mModel = kModel;
    request.mPrefix = work.mPrefix;
    const auto chosen =
      mRouters.at(work.mEntry).Choose(table, request, mEvents.Now(), mGenerator);
    const auto& name = std::get<routing::EndpointDescription>(chosen).mName;
    table.Begin(name, kModel);
    Endpoint& endpoint = *std::ranges::find(mEndpoints, name, &Endpoint::mName);
    mEvents.After(kOneWay, [this, &endpoint, work] {
      endpoint.mQueue.push_back(work);
      Serve(endpoint);
    });
  }

  void Serve(Endpoint& aEndpoint)
  {
    while (aEndpoint.mInFlight < kSlots && !aEndpoint.mQueue.empty()) {
      const Work work = aEndpoint.mQueue.front();
      aEndpoint.mQueue.pop_front();
      ++aEndpoint.mInFlight;
      const std::chrono::duration<double, std::milli> wait =
        mEvents.Now() - work.mArrived - kOneWay;
      mWaits.push_back(wait.count());
      const bool hit = UseCache(aEndpoint, work.mPrefix);
      const double seconds =
        work.mSeconds * (hit ? 1.0 - kPrefixSaving : 1.0) / aEndpoint.mSpeed;
      mEvents.After(std::chrono::duration_cast<timing::Duration>(
                      std::chrono::duration<double>(seconds)),
                    [this, &aEndpoint, work] { Finish(aEndpoint, work); });
    }
  }

  bool UseCache(Endpoint& aEndpoint, std::uint64_t aPrefix)
  {
    if (aPrefix == 0) {
      return false;
    }
    const bool hit = std::erase(aEndpoint.mCache, aPrefix) > 0;
    aEndpoint.mCache.push_back(aPrefix);
    if (aEndpoint.mCache.size() > kCachedPrefixes) {
      aEndpoint.mCache.pop_front();
    }
    mHits += hit ? 1 : 0;
    return hit;
  }

  void Finish(Endpoint& aEndpoint, const Work& aWork)
  {
    --aEndpoint.mInFlight;
    const routing::EndpointLoad load{ .mInFlight = aEndpoint.mInFlight,
                                      .mInFlightLimit = kSlots,
                                      .mQueued = static_cast<std::uint32_t>(
                                        aEndpoint.mQueue.size()) };
    mEvents.After(kOneWay, [this, &aEndpoint, aWork, load] {
      auto& table = *mTables.at(aWork.mEntry);
      table.End(aEndpoint.mName, kModel);
      table.ReportLoad(aEndpoint.mName, load, mEvents.Now());
    });
    Serve(aEndpoint);
  }

  RouteTrialOptions mOptions;
  EventQueue mEvents;
  std::mt19937_64 mGenerator;
  std::vector<R> mRouters;
  std::vector<std::unique_ptr<routing::EndpointTable>> mTables;
  std::deque<Endpoint> mEndpoints;
  timing::Instant mEnd;
  std::vector<double> mWaits;
  std::size_t mHits{ 0 };
};

}

RouteTrialResult RunRouteTrial(const RouteTrialOptions& aOptions)
{
  switch (aOptions.mPolicy) {
    case RoutePolicy::PowerOfTwo:
      break;
    case RoutePolicy::RoundRobin:
      return RouteFleet<routing::RoundRobinRouter>(aOptions).Run();
    case RoutePolicy::Random:
      return RouteFleet<routing::RandomRouter>(aOptions).Run();
  }
  return RouteFleet<routing::PowerOfTwoRouter>(aOptions).Run();
}

}
