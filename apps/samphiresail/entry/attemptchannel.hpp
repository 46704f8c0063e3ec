#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ATTEMPTCHANNEL_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ATTEMPTCHANNEL_HPP

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include "components/timing/clock.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

/// The envelope was certainly not sent.
struct NotSentEvent
{};

/// The connection that carried the attempt was opened anew; the attempt must be submitted
/// again.
struct ReattachEvent
{
  /// Number of the new connection to the agent.
  std::uint64_t mConnection{ 0 };
};

using AttemptEvent = std::variant<wire::Acknowledge,
                                  wire::Refuse,
                                  wire::Chunk,
                                  wire::Progress,
                                  wire::Complete,
                                  wire::TombstoneReply,
                                  NotSentEvent,
                                  ReattachEvent>;

/// Carries the events of one attempt from the transport thread to the thread that serves
/// the caller.
class AttemptChannel
{
public:
  void Push(AttemptEvent aEvent)
  {
    {
      const std::lock_guard lock(mMutex);
      mEvents.push_back(std::move(aEvent));
    }
    mChanged.notify_one();
  }

  /// Waits for the next event; returns nothing after the timeout.
  std::optional<AttemptEvent> Pop(timing::Duration aTimeout)
  {
    std::unique_lock lock(mMutex);
    if (!mChanged.wait_for(lock, aTimeout, [this] { return !mEvents.empty(); })) {
      return std::nullopt;
    }
    AttemptEvent event = std::move(mEvents.front());
    mEvents.pop_front();
    return event;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<AttemptEvent> mEvents;
};

}

#endif
