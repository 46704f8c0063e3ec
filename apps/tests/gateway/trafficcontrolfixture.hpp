#ifndef SAMPHIRESAIL_APPS_TESTS_GATEWAY_TRAFFICCONTROLFIXTURE_HPP
#define SAMPHIRESAIL_APPS_TESTS_GATEWAY_TRAFFICCONTROLFIXTURE_HPP

#include <variant>

#include <catch2/catch.hpp>

#include "components/gateway/trafficcontrol.hpp"

namespace samphiresail::gateway::testing {

/// Time of the tests.
inline const timing::Instant kNow{ std::chrono::hours(1) };
inline const ids::ServiceId kEngines("engines");

/// Configuration with two resumable streams to engines and one account.
inline std::shared_ptr<ServingConfiguration> Configuration()
{
  auto configuration = std::make_shared<ServingConfiguration>();
  configuration->mVersion = 3;
  Route route;
  route.mName = "advice";
  route.mHost = "h.example";
  route.mPathPrefix = "/advice/";
  route.mKind = RequestKind::Stream;
  route.mResumable = true;
  route.mTimeout = std::chrono::seconds(12);
  route.mTargetLatency = std::chrono::milliseconds(300);
  route.mMaxAttempts = 2;
  route.mServices = { { kEngines, 1.0 } };
  configuration->mRoutes.push_back(route);
  route.mName = "digest";
  route.mPathPrefix = "/digest/";
  route.mTargetLatency = std::chrono::seconds(3);
  configuration->mRoutes.push_back(route);
  Service service;
  service.mName = kEngines;
  service.mColdPerSecond = 15;
  service.mEngine = EngineSpec{};
  configuration->mServices.push_back(service);
  ClientAccount account;
  account.mName = ids::ClientAccountId("foremen");
  account.mKeys = { "key" };
  configuration->mAccounts.push_back(account);
  configuration->Index();
  return configuration;
}

/// A request of the account.
inline RequestMetadata Metadata(const std::string& aPath = "/advice/1")
{
  RequestMetadata metadata;
  metadata.mId = ids::RequestId("r1");
  metadata.mHost = "h.example";
  metadata.mPath = aPath;
  metadata.mKey = "key";
  metadata.mModel = ids::ModelId("m");
  metadata.mCallerTimeout = std::chrono::seconds(5);
  return metadata;
}

/// Adds an engine that holds the model of the requests.
inline void AddEndpoint(TrafficControl& aControl,
                        const std::string& aId,
                        const std::string& aZone,
                        std::set<std::string> aAdapters = {})
{
  EndpointReport report;
  report.mId = ids::EndpointId(aId);
  report.mIncarnation = 1;
  report.mService = kEngines;
  report.mZone = ids::AvailabilityZoneId(aZone);
  report.mSlots = 4;
  report.mModels[ids::ModelId("m")] = std::move(aAdapters);
  aControl.mDirectory.Update(report, kNow);
}

/// Decisions of an entry that knows the configuration.
struct TrafficControlFixture
{
  TrafficControlFixture()
  {
    mControl.SetConfiguration(Configuration(), kNow);
    mControl.mStoreFreshness.ConfirmUpTo(kNow);
    mControl.mRetryBudget.SetLimits({ std::chrono::seconds(10), 0.2, 50.0 });
  }
  Admission Admit(const RequestMetadata& aMetadata = Metadata())
  {
    auto result = mControl.Admit(aMetadata, kNow);
    REQUIRE(std::holds_alternative<Admission>(result));
    return std::get<Admission>(std::move(result));
  }
  Refusal Refuse(const RequestMetadata& aMetadata, timing::Instant aNow = kNow)
  {
    auto result = mControl.Admit(aMetadata, aNow);
    REQUIRE(std::holds_alternative<Refusal>(result));
    return std::get<Refusal>(std::move(result));
  }
  TrafficControl mControl{ ids::AvailabilityZoneId("z1"), 7 };
};

}

#endif
