#include <catch2/catch.hpp>

#include "components/gateway/streampauses.hpp"

using namespace samphiresail;
using gateway::PauseCause;
using std::chrono::milliseconds;

namespace {

struct Stream
{
  /// Lets events come after a time; the write of those before took a part of it.
  void Event(milliseconds aAfter,
             milliseconds aWrite = milliseconds(0),
             milliseconds aLag = milliseconds(0),
             bool aBeginsAttempt = false)
  {
    mPauses.OnWritten(mClock.Now() + aWrite);
    mClock.Advance(aAfter);
    mPauses.OnEvents(mClock.Now(), aBeginsAttempt, aLag);
  }

  timing::ManualClock mClock;
  gateway::StreamPauses mPauses;
};

}

TEST_CASE("pauses: the time to the first event is none", "[gateway]")
{
  Stream stream;
  CHECK(stream.mPauses.Longest() == milliseconds(0));
  stream.Event(milliseconds(700), milliseconds(0), milliseconds(0), true);
  CHECK(stream.mPauses.Longest() == milliseconds(0));
}

TEST_CASE("pauses: the longest one keeps the cause that took most of it", "[gateway]")
{
  // Guards against a late stream whose log line blames another part of the path.
  Stream stream;
  stream.Event(milliseconds(50), milliseconds(0), milliseconds(0), true);
  stream.Event(milliseconds(100), milliseconds(40), milliseconds(40));
  CHECK(stream.mPauses.Cause() == PauseCause::Endpoint);
  stream.Event(milliseconds(200), milliseconds(110));
  CHECK(stream.mPauses.Cause() == PauseCause::CallerNotReading);
  stream.Event(milliseconds(300), milliseconds(290), milliseconds(160));
  CHECK(stream.mPauses.Cause() == PauseCause::EntryBehind);
  stream.Event(milliseconds(250), milliseconds(0), milliseconds(0), true);
  CHECK(stream.mPauses.Cause() == PauseCause::EntryBehind);
  CHECK(stream.mPauses.Longest() == milliseconds(300));
  stream.Event(milliseconds(400), milliseconds(0), milliseconds(0), true);
  CHECK(stream.mPauses.Cause() == PauseCause::ResumedElsewhere);
  CHECK(stream.mPauses.Longest() == milliseconds(400));
}
