#include "apps/samphiresail/entry/requestreport.hpp"

#include <utility>

#include "apps/samphiresail/entry/entrytelemetry.hpp"

namespace samphiresail::entry {

RequestReport::RequestReport(EntryContext& aContext, RequestSummary aSummary)
  : mContext(aContext)
  , mSummary(std::move(aSummary))
  , mBegin(aContext.mClock.Now())
{
  mContext.mTelemetry.OnAdmitted(mSummary);
}

RequestReport::~RequestReport()
{
  mContext.mTelemetry.OnFinished(mSummary, mResult, mContext.mClock.Now() - mBegin);
}

void RequestReport::OnFirstPart()
{
  mContext.mTelemetry.OnFirstPart(mSummary, mContext.mClock.Now() - mBegin);
}

}
