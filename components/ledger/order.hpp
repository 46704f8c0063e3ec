#ifndef SAMPHIRESAIL_COMPONENTS_LEDGER_ORDER_HPP
#define SAMPHIRESAIL_COMPONENTS_LEDGER_ORDER_HPP

#include "components/ids/ids.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::ledger {

enum class OrderAction
{
  Load,
  Unload,
};

/// Order to an engine to load or unload a model or adapter.
struct Order
{
  units::FencingNumber mFencing;
  OrderAction mAction{ OrderAction::Load };
  ids::ModelId mModel;
  /// Base model of an adapter; empty for a base model.
  ids::ModelId mBase;
  units::Bytes mMemory;
};

enum class OrderOutcome
{
  /// The engine confirmed that it carried out the order.
  Confirmed,
  /// The engine rejected the order; a duplicate of it may still take effect.
  Refused,
  /// No connection was established, so the engine received nothing.
  NotSent,
  /// No response; the order may still take effect.
  Unknown,
};

}

#endif
