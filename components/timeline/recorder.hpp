#ifndef SAMPHIRESAIL_COMPONENTS_TIMELINE_RECORDER_HPP
#define SAMPHIRESAIL_COMPONENTS_TIMELINE_RECORDER_HPP

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "components/ids/ids.hpp"
#include "components/timeline/lamportclock.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::wire {
class TimelineReply;
class TimelineRequest;
}

namespace samphiresail::timeline {

/// What an event concerns; empty parts concern nothing in particular.
struct Subject
{
  std::string_view mRequest;
  std::string_view mAccount;
  std::string_view mEndpoint;
  std::string_view mDetail;
};

/// Keeps the recent events of a process in memory; the oldest give way. Keys in details
/// are replaced. Safe from any thread.
class Recorder
{
public:
  Recorder(ids::ProcessId aProcess,
           units::Incarnation aIncarnation,
           const timing::Clock& aClock,
           std::size_t aCapacity);

  /// Records an event and returns its stamp. The kind is a short word such as `submit`.
  std::uint64_t Record(std::string_view aKind, const Subject& aSubject = {});

  /// Returns the stamp for an envelope that is sent without an event of its own.
  std::uint64_t NextStamp() { return mLamport.Next(); }

  /// Takes notice of the stamp of an envelope that arrived.
  void Observe(std::uint64_t aStamp) { mLamport.Observe(aStamp); }

  /// Returns the latest matching events, oldest first.
  wire::TimelineReply Answer(const wire::TimelineRequest& aRequest) const;

private:
  struct Event
  {
    std::uint64_t mStamp{ 0 };
    std::int64_t mWallUs{ 0 };
    std::string mKind;
    std::string mRequest;
    std::string mAccount;
    std::string mEndpoint;
    std::string mDetail;
  };

  static bool Matches(const Event& aEvent, const wire::TimelineRequest& aRequest);

  ids::ProcessId mProcess;
  units::Incarnation mIncarnation;
  const timing::Clock& mClock;
  std::size_t mCapacity;
  LamportClock mLamport;
  mutable std::mutex mMutex;
  /// Ring; grows to the capacity, then mNext is the oldest event.
  std::vector<Event> mEvents;
  std::size_t mNext{ 0 };
};

}

#endif
