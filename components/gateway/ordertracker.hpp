#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_ORDERTRACKER_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_ORDERTRACKER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "components/gateway/endpointdirectory.hpp"
#include "components/gateway/fleetplanner.hpp"
#include "components/gateway/slidingwindow.hpp"

namespace samphiresail::gateway {

/// What an engine says when it is asked directly.
struct EngineReport
{
  ResidentModels mModels;
  /// A load or unload of a model is under way.
  bool mBusy{ false };
  std::uint64_t mOrdersAccepted{ 0 };
};

enum class OrderOutcome
{
  /// It will be carried out.
  Accepted,
  /// The engine already is as ordered.
  AlreadyInState,
  /// Another order is under way, or other orders came in between.
  Conflict,
  /// A holder with a newer token has given orders.
  Fenced,
  /// It was not and will not be carried out.
  Rejected,
  /// No answer: it may be carried out, also later.
  Unknown,
};

/// Something for the shell to do towards an engine.
struct EngineAction
{
  ids::EndpointId mEndpoint;
  /// The order to send, or none to ask for a report.
  std::optional<EngineOrder> mOrder;
  /// Count of accepted orders under which the order holds.
  std::uint64_t mPrecondition{ 0 };
};

/// The leader's knowledge of each engine and of the orders under way. Every order states
/// how many orders the engine must have accepted before, so that one whose answer is lost
/// can be sent again and only one of the copies is carried out.
class OrderTracker
{
public:
  /// Reports lag by some hundred milliseconds; one asked for sooner may be older than an
  /// order.
  static constexpr timing::Duration kReportLag = std::chrono::milliseconds(700);
  /// Window of the ceiling of loads from the weight store.
  static constexpr timing::Duration kLoadWindow = std::chrono::seconds(5);

  /// Forgets everything; for a new leader. Models are loaded only from aLoadsFrom on,
  /// since the loads of an earlier leader in the last window are not known here.
  void Reset(timing::Instant aLoadsFrom);

  /// Returns what is to be done now. Each action gets one outcome or report before the
  /// engine gets another action.
  std::vector<EngineAction> Tick(const Service& aService,
                                 const EndpointDirectory& aDirectory,
                                 const DemandLookup& aDemand,
                                 timing::Instant aNow);

  void OnOutcome(const ids::EndpointId& aEndpoint,
                 OrderOutcome aOutcome,
                 timing::Instant aNow);
  /// Takes a report, or none if the engine did not answer.
  void OnReport(const ids::EndpointId& aEndpoint,
                const std::optional<EngineReport>& aReport,
                timing::Instant aNow);

private:
  struct Engine
  {
    std::int64_t mIncarnation{ 0 };
    bool mKnown{ false };
    EngineReport mReport;
    /// An action is under way.
    bool mWaiting{ false };
    /// The order that was sent and not yet settled.
    std::optional<EngineOrder> mOrder;
    std::uint64_t mPrecondition{ 0 };
    /// When the load that mOrder asks for was counted, unless it may have begun unseen.
    std::optional<timing::Instant> mCountedAt;
    /// A model order that was accepted and is being carried out.
    std::optional<EngineOrder> mUnderWay;
    timing::Instant mLastOrder{};
    timing::Instant mNotBefore{};
  };

  /// Ends a model order whose effect the endpoint's own report shows.
  static void SettleByReport(Engine& aEngine, const Endpoint& aEndpoint);
  EngineView View(const Endpoint& aEndpoint,
                  const Engine& aEngine,
                  const EndpointDirectory& aDirectory,
                  timing::Instant aNow) const;
  std::size_t LoadsAllowed(const EngineSpec& aSpec, timing::Instant aNow);

  FleetPlanner mPlanner;
  std::map<ids::EndpointId, Engine> mEngines;
  SlidingWindow mLoads{ kLoadWindow };
  timing::Instant mLoadsFrom{};
};

}

#endif
