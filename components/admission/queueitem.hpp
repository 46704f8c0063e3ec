#ifndef SAMPHIRESAIL_COMPONENTS_ADMISSION_QUEUEITEM_HPP
#define SAMPHIRESAIL_COMPONENTS_ADMISSION_QUEUEITEM_HPP

#include <cstdint>
#include <functional>

#include "components/catalogue/catalogue.hpp"
#include "components/ids/ids.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::admission {

/// Attempt that waits for a free slot of an endpoint.
struct QueueItem
{
  ids::AttemptId mAttempt;
  catalogue::RequestClass mClass{ catalogue::RequestClass::Streamed };
  ids::ClientAccountId mAccount;
  /// Weight of the client account in fair queueing; 0 counts as 1.
  std::uint32_t mWeight{ 1 };
  /// Instant after which the response is of no use to the caller.
  timing::Instant mDeadline{};
  /// Prompt tokens plus the maximum output tokens.
  units::Tokens mCost{ 1 };
  /// Empty for a plain service.
  ids::ModelId mModel;
};

/// Returns true for an item that may start now, for instance because its adapter is below
/// its knee.
using ItemFilter = std::function<bool(const QueueItem&)>;

enum class PushResult
{
  Accepted,
  /// The queue is full and no waiting item may be displaced for this one.
  Full,
  /// The deadline has passed.
  Expired,
  /// The queue already holds the attempt.
  Duplicate,
};

enum class DropCause
{
  /// The deadline passed while the item waited.
  Expired,
  /// The item was removed for one of a higher class or of an account with less backlog.
  Displaced,
};

/// Item that left the queue without being started; its attempt has not run.
struct DroppedItem
{
  QueueItem mItem;
  DropCause mCause{ DropCause::Expired };
};

}

#endif
