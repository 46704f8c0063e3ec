#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_PLATFORMPORT_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_PLATFORMPORT_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "components/gateway/endpoint.hpp"
#include "components/gateway/keyrequirement.hpp"
#include "components/gateway/ordertracker.hpp"
#include "components/gateway/servingconfiguration.hpp"

namespace samphiresail::gateway {

/// Names of all records in a complete read of the store.
struct FullReading
{
  std::set<ids::EndpointId> mEndpoints;
  std::set<ids::AvailabilityZoneId> mZonesOut;
  /// Keys of this system's own records.
  std::set<std::string> mOwnKeys;
  /// Revision of the store at which the read began.
  StoreRevision mRevision{ 0 };
  /// The first complete read since the store was restored from a backup, which may lack
  /// records that are to be written again, and have others that were deleted.
  bool mRestored{ false };
};

/// A record of this system in the store.
struct OwnRecord
{
  std::string mKey;
  /// None if the record was deleted.
  std::optional<std::string> mValue;
  std::int64_t mCreateRevision{ 0 };
  /// Store revision of the last change.
  std::int64_t mModRevision{ 0 };
  /// Lease that the record is bound to; 0 for none.
  std::int64_t mLease{ 0 };
};

/// Receives the decoded changes of the platform's store, in the order in which they
/// happened.
class PlatformListener
{
public:
  virtual ~PlatformListener() = default;

  /// True if every version of the configuration is to be reported, also those that newer
  /// ones have replaced.
  virtual bool WantsEveryVersion() const = 0;
  /// Reports a version of the configuration. The newest one follows as OnConfiguration or
  /// OnConfigurationUnreadable.
  virtual void OnConfigurationVersion(const ConfigurationVersion& aVersion) = 0;
  virtual void OnConfiguration(std::shared_ptr<ServingConfiguration> aConfiguration) = 0;
  /// The newest configuration cannot be adopted, so the one before it is out of date.
  /// aReadable is what can be read of it, with the strictest value for each field that
  /// cannot; null if it is no configuration at all.
  virtual void OnConfigurationUnreadable(
    std::shared_ptr<const ServingConfiguration> aReadable) = 0;
  virtual void OnZoneOut(const ids::AvailabilityZoneId& aZone, bool aOut) = 0;
  virtual void OnEndpoint(EndpointReport aReport) = 0;
  virtual void OnEndpointGone(const ids::EndpointId& aId) = 0;
  /// All changes after one revision up to another have been reported.
  virtual void OnHistory(StoreRevision aAfter, StoreRevision aThrough) = 0;
  /// Returns the revision after which the history is to be read again, at the end of a
  /// complete read; none if it is not needed.
  virtual std::optional<StoreRevision> TakeReplayStart() = 0;
  /// Ends a complete read: records that are not in it no longer exist.
  virtual void OnFullReading(const FullReading& aReading) = 0;
  /// Reports a record of this system that was written or deleted.
  virtual void OnOwnRecord(const OwnRecord& aRecord) = 0;
  /// A response that began to arrive at aBegan has been read; the calls for its content
  /// follow.
  virtual void OnAnswered(timing::Instant aBegan) = 0;
  /// All changes up to aAsOf have been reported.
  virtual void OnConfirmed(timing::Instant aAsOf) = 0;
  virtual void OnContactLost(const std::string& aReason) = 0;
};

/// Calls to engines that read or change the models and adapters that they hold.
class EngineControl
{
public:
  virtual ~EngineControl() = default;

  /// Sends an order under a fencing token.
  virtual boost::asio::awaitable<OrderOutcome> Order(EndpointReport aEndpoint,
                                                     EngineAction aAction,
                                                     std::int64_t aToken) = 0;
  virtual boost::asio::awaitable<std::optional<EngineReport>> Report(
    EndpointReport aEndpoint) = 0;
};

}

#endif
