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

/// An engine's response to a direct request for its state.
struct EngineReport
{
  /// Models with their adapters, including adapters that are still being loaded.
  ResidentModels mModels;
  /// Models whose weights the engine can load from its own memory or disk.
  std::set<ids::ModelId> mStoredModels;
  /// A load or unload of a model is in progress.
  bool mBusy{ false };
  std::uint64_t mOrdersAccepted{ 0 };
};

enum class OrderOutcome
{
  /// The order will be executed.
  Accepted,
  /// The engine already is in the ordered state.
  AlreadyInState,
  /// Another order is in progress, or other orders were accepted in between.
  Conflict,
  /// The engine has received orders under a newer fencing token.
  Fenced,
  /// The order was not and will not be executed.
  Rejected,
  /// No response: the order may be executed, possibly later.
  Unknown,
};

/// A request that the process must send to an engine.
struct EngineAction
{
  ids::EndpointId mEndpoint;
  /// The order to send, or none to request a report.
  std::optional<EngineOrder> mOrder;
  /// Number of orders that the engine must have accepted before; otherwise it does not
  /// accept this one.
  std::uint64_t mPrecondition{ 0 };
};

/// Tracks the state of each engine and its orders in progress for the leader. Every order
/// states how many orders the engine must have accepted before, so that an order whose
/// response was lost can be retried and is executed only once.
class OrderTracker
{
public:
  /// Reports lag by some hundred milliseconds; one requested sooner after an order may
  /// not show its effect.
  static constexpr timing::Duration kMaxReportLag = std::chrono::milliseconds(700);
  /// Window over which loads from the weight store are limited.
  static constexpr timing::Duration kLoadWindow = std::chrono::seconds(5);

  /// Clears all state for a new leader. Models are loaded only from aLoadsAllowedFrom on,
  /// since the loads that an earlier leader started in the last window are unknown here.
  void Reset(timing::Instant aLoadsAllowedFrom);

  /// Returns the actions that are due. The caller reports one outcome or report for each
  /// action; until then the engine gets no other action.
  std::vector<EngineAction> Tick(const Service& aService,
                                 const EndpointDirectory& aDirectory,
                                 const DemandLookup& aDemand,
                                 timing::Instant aNow);

  void OnOutcome(const ids::EndpointId& aEndpoint,
                 OrderOutcome aOutcome,
                 timing::Instant aNow);
  /// Processes a report, or none if the engine did not respond.
  void OnReport(const ids::EndpointId& aEndpoint,
                const std::optional<EngineReport>& aReport,
                timing::Instant aNow);

private:
  struct Engine
  {
    std::int64_t mIncarnation{ 0 };
    /// mReport is fresh enough for orders to be sent.
    bool mHasReport{ false };
    EngineReport mReport;
    /// An action was returned and its outcome or report is pending.
    bool mActionInFlight{ false };
    /// The order that was sent and whose outcome is not known yet.
    std::optional<EngineOrder> mOrder;
    std::uint64_t mPrecondition{ 0 };
    /// Adapters whose unload was accepted and whose slot is not free yet: the engine
    /// finishes their requests first.
    ResidentModels mUnloadingAdapters;
    /// When a report is requested that may show these slots as free.
    timing::Instant mAdapterReportDue{};
    /// When the load of mOrder was counted against the limit. Empty if a response was
    /// lost, as the load may have started and must stay counted.
    std::optional<timing::Instant> mLoadCountedAt;
    /// An accepted order for a model that is being executed.
    std::optional<EngineOrder> mExecutingOrder;
    timing::Instant mLastOutcomeAt{};
    timing::Instant mNextActionAt{};
  };

  /// Completes a model order whose effect the endpoint's own report shows.
  static void CompleteByReport(Engine& aEngine, const Endpoint& aEndpoint);
  EngineView MakeView(const Endpoint& aEndpoint,
                      const Engine& aEngine,
                      const EndpointDirectory& aDirectory,
                      timing::Instant aNow) const;
  std::size_t RemainingLoads(const EngineSpec& aSpec, timing::Instant aNow);

  FleetPlanner mPlanner;
  std::map<ids::EndpointId, Engine> mEngines;
  SlidingWindow mLoadStarts{ kLoadWindow };
  timing::Instant mLoadsAllowedFrom{};
};

}

#endif
