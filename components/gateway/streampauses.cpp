#include "components/gateway/streampauses.hpp"

namespace samphiresail::gateway {

std::string_view Name(PauseCause aCause)
{
  switch (aCause) {
    case PauseCause::Endpoint:
      return "endpoint";
    case PauseCause::EntryBehind:
      return "entry_behind";
    case PauseCause::CallerNotReading:
      return "caller_not_reading";
    case PauseCause::ResumedElsewhere:
      return "resumed_elsewhere";
  }
  return "endpoint";
}

void StreamPauses::OnEvents(timing::Instant aNow,
                            bool aBeginsAttempt,
                            timing::Duration aLag)
{
  if (mRead && aNow - *mRead > mLongest) {
    mLongest = aNow - *mRead;
    // The cause is what took more than half of the pause. While the entry is behind, the
    // write takes long as well.
    if (aBeginsAttempt) {
      mCause = PauseCause::ResumedElsewhere;
    } else if (2 * aLag > mLongest) {
      mCause = PauseCause::EntryBehind;
    } else if (2 * (mWritten - *mRead) > mLongest) {
      mCause = PauseCause::CallerNotReading;
    } else {
      mCause = PauseCause::Endpoint;
    }
  }
  mRead = aNow;
  mWritten = aNow;
}

}
