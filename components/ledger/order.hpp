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

/// Order to an engine that changes what is resident in its memory.
struct Order
{
  units::FencingNumber mFencing;
  OrderAction mAction{ OrderAction::Load };
  ids::ModelId mModel;
  /// Base model of an adapter; empty for a model.
  ids::ModelId mBase;
  units::Bytes mMemory;
};

enum class OrderOutcome
{
  /// The engine carried out the order.
  Confirmed,
  /// The engine refused the order; a repeated copy of it may still take effect.
  Refused,
  /// No connection came up; the engine got no byte.
  NotSent,
  /// No answer; the order may still take effect.
  Unknown,
};

}

#endif
