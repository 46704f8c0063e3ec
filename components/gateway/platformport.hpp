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
#include "components/gateway/ordertracker.hpp"
#include "components/gateway/servingconfiguration.hpp"

namespace samphiresail::gateway {

/// Names of all records of a full reading of the store.
struct FullReading
{
  std::set<ids::EndpointId> mEndpoints;
  std::set<ids::AvailabilityZoneId> mZonesOut;
  /// Keys of this system's own records.
  std::set<std::string> mOwnKeys;
};

/// Takes what changes on the platform, decoded. Calls come in the order of the changes.
class PlatformListener
{
public:
  virtual ~PlatformListener() = default;

  virtual void OnConfiguration(std::shared_ptr<ServingConfiguration> aConfiguration) = 0;
  virtual void OnZoneOut(const ids::AvailabilityZoneId& aZone, bool aOut) = 0;
  virtual void OnEndpoint(EndpointReport aReport) = 0;
  virtual void OnEndpointGone(const ids::EndpointId& aId) = 0;
  /// Ends a full reading: what is not in it is gone.
  virtual void OnFullReading(const FullReading& aReading) = 0;
  /// A record of this system's own: its value, or none if it is gone.
  virtual void OnOwnRecord(const std::string& aKey,
                           const std::optional<std::string>& aValue,
                           std::int64_t aCreateRevision,
                           std::int64_t aLease) = 0;
  /// An answer began to arrive at aBegan and has been read; what it says follows.
  virtual void OnAnswered(timing::Instant aBegan) = 0;
  /// All changes up to aAsOf have been passed on.
  virtual void OnConfirmed(timing::Instant aAsOf) = 0;
  virtual void OnContactLost(const std::string& aReason) = 0;
};

/// Calls to engines that concern what they hold.
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
