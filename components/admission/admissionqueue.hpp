#ifndef SAMPHIRESAIL_COMPONENTS_ADMISSION_ADMISSIONQUEUE_HPP
#define SAMPHIRESAIL_COMPONENTS_ADMISSION_ADMISSIONQUEUE_HPP

#include <concepts>
#include <cstddef>
#include <optional>
#include <vector>

#include "components/admission/queueitem.hpp"

namespace samphiresail::admission {

/// Bounded queue in front of an endpoint. Push may displace another item. TakeDropped
/// returns the items that expired or were displaced since its last call, whose senders
/// must be notified that the attempts did not run.
template<typename T>
concept AdmissionQueue = requires(T aQueue,
                                  const T aConstQueue,
                                  QueueItem aItem,
                                  timing::Instant aNow,
                                  const ItemFilter& aFilter,
                                  const ids::AttemptId& aAttempt,
                                  std::size_t aCapacity)
{
  aQueue.SetCapacity(aCapacity);
  {
    aQueue.Push(aItem, aNow)
    } -> std::same_as<PushResult>;
  {
    aQueue.Pop(aNow, aFilter)
    } -> std::same_as<std::optional<QueueItem>>;
  {
    aQueue.Remove(aAttempt)
    } -> std::same_as<bool>;
  {
    aQueue.TakeDropped(aNow)
    } -> std::same_as<std::vector<DroppedItem>>;
  {
    aConstQueue.Size()
    } -> std::same_as<std::size_t>;
};

}

#endif
