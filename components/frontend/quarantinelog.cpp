#include "components/frontend/quarantinelog.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace samphiresail::frontend {

namespace {

/// Returns the names of the endpoints with these hashes, separated by spaces; the hash of
/// one that is not listed any more.
std::string EndpointNames(const gateway::EndpointDirectory& aDirectory,
                          const std::vector<std::uint64_t>& aHashes)
{
  std::string names;
  for (const std::uint64_t hash : aHashes) {
    const auto& all = aDirectory.All();
    const auto it = std::ranges::find_if(
      all, [hash](const auto& aRow) { return aRow.second.mHash == hash; });
    names.append(names.empty() ? "" : " ")
      .append(it == all.end() ? gateway::PartName(hash) : it->first.Str());
  }
  return names;
}

/// Returns the time in milliseconds; -1 for none.
std::int64_t MillisOrNone(const std::optional<timing::Duration>& aTime)
{
  return aTime ? std::chrono::duration_cast<std::chrono::milliseconds>(*aTime).count()
               : -1;
}

}

void LogVerdict(logging::Logger& aLogger,
                const gateway::TrafficControl& aControl,
                const gateway::RequestQuarantine::Change& aChange,
                timing::Instant aNow)
{
  std::string ends;
  std::string excused;
  std::string answered;
  const auto append = [](std::string& aList, std::int64_t aNumber) {
    aList.append(aList.empty() ? "" : ",").append(std::to_string(aNumber));
  };
  for (const std::uint64_t cause : aChange.mCauses) {
    const auto description = aControl.mQuarantine.Describe(cause, aNow);
    append(ends, static_cast<std::int64_t>(description.mEnds));
    append(excused, static_cast<std::int64_t>(description.mExcusedEnds));
    append(answered, MillisOrNone(description.mSinceAnswer));
  }
  const std::string_view begins =
    aChange.mReplaced.empty() ? "quarantine begins" : "quarantine narrowed";
  aLogger.Warn(aChange.mBegins ? begins : "quarantine lifted",
               { { "cause", gateway::PartNames(aChange.mCauses) },
                 { "before", gateway::PartNames(aChange.mReplaced) },
                 { "reason", aChange.mReason },
                 { "crashes", aChange.mEngines.size() },
                 { "endpoints", EndpointNames(aControl.mDirectory, aChange.mEngines) },
                 { "ends", ends },
                 { "excused_ends", excused },
                 { "answered_ms", answered },
                 { "verdict", gateway::PartName(gateway::VerdictId(aChange.mCauses)) } });
}

void LogVerdictRecord(logging::Logger& aLogger,
                      const gateway::RequestQuarantine& aQuarantine,
                      std::uint64_t aVerdict,
                      std::string_view aWriter,
                      timing::Instant aNow)
{
  aLogger.Info(
    "quarantine record",
    { { "cause", gateway::PartNames(aQuarantine.CausesOfVerdict(aVerdict)) },
      { "verdict", gateway::PartName(aVerdict) },
      { "present", !aWriter.empty() },
      { "writer", aWriter },
      { "next_test_ms", MillisOrNone(aQuarantine.UntilTest(aVerdict, aNow)) } });
}

void RecordTest(logging::Logger& aLogger,
                const GatewayMetrics& aMetrics,
                const Exchange& aExchange)
{
  const gateway::Admission& admission = aExchange.mAdmission;
  if (!admission.mTestsQuarantine) {
    return;
  }
  const auto report = [&](std::string_view aOutcome, const metrics::Counter& aCounter) {
    aCounter.Increment();
    aLogger.Info("quarantine test",
                 { { "request", admission.mMetadata.mId.Str() },
                   { "verdict", gateway::PartName(admission.mTestedCause) },
                   { "outcome", aOutcome },
                   { "sent", aExchange.mAttemptsSent } });
  };
  if (aExchange.mAnswered) {
    report("answered", aMetrics.mQuarantineTestsAnswered);
  } else if (aExchange.mBrokeOff) {
    report("broke off", aMetrics.mQuarantineTestsBroken);
  } else {
    report("undecided", aMetrics.mQuarantineTestsUndecided);
  }
}

}
