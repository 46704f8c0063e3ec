#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_RECORDPOLLER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_RECORDPOLLER_HPP

#include <cstdint>
#include <optional>

#include "apps/samphiresail/entry/control/controlstate.hpp"
#include "apps/samphiresail/entry/control/outbox.hpp"

namespace samphiresail::entry {

/// Reads the records of the store that changed since the last read. The instant at which
/// a finished read began is evidence. In each availability zone one entry reads often;
/// the others ask it and read seldom.
class RecordPoller
{
public:
  RecordPoller(ControlState& aState, Outbox& aOutbox);

  void Tick(timing::Instant aNow);
  void OnReply(const PendingCall& aCall,
               const store::StoreReply& aReply,
               timing::Instant aNow);

  /// Reads at the next tick, because the store is known to have changed.
  void PollSoon() { mNextPoll.reset(); }

private:
  void Begin(timing::Instant aNow);
  void Fail(timing::Instant aNow);
  void Finish(timing::Instant aNow);
  void Read(StorePurpose aPurpose, timing::Instant aNow);
  timing::Duration Interval(timing::Instant aNow) const;
  /// Returns false if a record could not be read.
  bool Take(const store::StoreReply& aReply, std::int64_t& aNextRevision);

  ControlState& mState;
  Outbox& mOutbox;
  std::optional<timing::Instant> mNextPoll;
  std::optional<timing::Instant> mBegan;
  std::optional<timing::Instant> mLastFull;
  std::optional<timing::Instant> mLastEntries;
  std::optional<timing::Instant> mLastKeepers;
  std::uint32_t mFailures{ 0 };
  bool mFull{ false };
  std::int64_t mDirectoryRevision{ 0 };
  std::int64_t mRecordsRevision{ 0 };
  std::int64_t mKeepersRevision{ 0 };
};

}

#endif
