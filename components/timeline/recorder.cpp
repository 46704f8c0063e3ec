#include "components/timeline/recorder.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "components/credentials/redaction.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::timeline {

namespace {

constexpr std::size_t kMaxAnswerEvents = 100000;

bool Allows(const std::string& aFilter, const std::string& aValue)
{
  return aFilter.empty() || aFilter == aValue;
}

std::int64_t Microseconds(timing::WallTime aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aTime.time_since_epoch())
    .count();
}

}

Recorder::Recorder(ids::ProcessId aProcess,
                   units::Incarnation aIncarnation,
                   const timing::Clock& aClock,
                   std::size_t aCapacity)
  : mProcess(std::move(aProcess))
  , mIncarnation(aIncarnation)
  , mClock(aClock)
  , mCapacity(std::max<std::size_t>(aCapacity, 1))
{
}

std::uint64_t Recorder::Record(std::string_view aKind, const Subject& aSubject)
{
  const std::int64_t wall = Microseconds(mClock.WallNow());
  const std::string detail = credentials::RedactKeys(std::string(aSubject.mDetail));
  const std::lock_guard lock(mMutex);
  if (mEvents.size() < mCapacity) {
    mEvents.emplace_back();
  }
  Event& event = mEvents[mNext];
  mNext = (mNext + 1) % mCapacity;
  event.mStamp = mLamport.Next();
  event.mWallUs = wall;
  event.mKind = aKind;
  event.mRequest = aSubject.mRequest;
  event.mAccount = aSubject.mAccount;
  event.mEndpoint = aSubject.mEndpoint;
  event.mDetail = detail;
  return event.mStamp;
}

bool Recorder::Matches(const Event& aEvent, const wire::TimelineRequest& aRequest)
{
  return Allows(aRequest.request_id(), aEvent.mRequest) &&
         Allows(aRequest.client_account(), aEvent.mAccount) &&
         Allows(aRequest.endpoint(), aEvent.mEndpoint) &&
         aEvent.mWallUs >= aRequest.from_wall_us();
}

wire::TimelineReply Recorder::Answer(const wire::TimelineRequest& aRequest) const
{
  const std::size_t limit = aRequest.limit() == 0
                              ? kMaxAnswerEvents
                              : std::min<std::size_t>(aRequest.limit(), kMaxAnswerEvents);
  std::vector<Event> matches;
  {
    const std::lock_guard lock(mMutex);
    std::ranges::copy_if(mEvents, std::back_inserter(matches), [&](const Event& aEvent) {
      return Matches(aEvent, aRequest);
    });
  }
  std::ranges::sort(matches, {}, &Event::mStamp);
  if (matches.size() > limit) {
    matches.erase(matches.begin(), matches.end() - static_cast<std::ptrdiff_t>(limit));
  }
  wire::TimelineReply reply;
  reply.set_nonce(aRequest.nonce());
  for (Event& event : matches) {
    wire::TimelineEvent* out = reply.add_events();
    out->set_stamp(event.mStamp);
    out->set_wall_us(event.mWallUs);
    out->set_process(mProcess.Str());
    out->set_incarnation(mIncarnation.Count());
    out->set_kind(std::move(event.mKind));
    out->set_request_id(std::move(event.mRequest));
    out->set_client_account(std::move(event.mAccount));
    out->set_endpoint(std::move(event.mEndpoint));
    out->set_detail(std::move(event.mDetail));
  }
  return reply;
}

}
