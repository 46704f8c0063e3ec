#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_REQUESTREPORT_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_REQUESTREPORT_HPP

#include <string>

#include "apps/samphiresail/entry/callerrequest.hpp"
#include "apps/samphiresail/entry/entrycontext.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::entry {

/// Reports the begin and the end of a request to the telemetry, each once.
class RequestReport
{
public:
  RequestReport(EntryContext& aContext, RequestSummary aSummary);
  ~RequestReport();
  RequestReport(const RequestReport&) = delete;
  RequestReport& operator=(const RequestReport&) = delete;

  const RequestSummary& Summary() const { return mSummary; }

  /// Sets how the request ended; without it the caller has gone.
  void SetResult(std::string aResult) { mResult = std::move(aResult); }
  void OnFirstPart();

private:
  EntryContext& mContext;
  RequestSummary mSummary;
  timing::Instant mBegin;
  std::string mResult{ "caller_gone" };
};

}

#endif
