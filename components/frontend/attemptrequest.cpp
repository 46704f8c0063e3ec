#include "components/frontend/attemptrequest.hpp"

#include <algorithm>
#include <chrono>

#include "components/frontend/httpmessage.hpp"

namespace samphiresail::frontend {

using std::chrono::milliseconds;

std::string BuildAttemptHead(const Dialect& aDialect,
                             const CallerRequest& aRequest,
                             const Exchange& aExchange,
                             const ids::EndpointId& aEndpoint,
                             timing::Instant aNow)
{
  const gateway::Admission& admission = aExchange.mAdmission;
  std::string head;
  head.append(ToStringView(aRequest.method_string()))
    .append(" ")
    .append(ToStringView(aRequest.target()))
    .append(" HTTP/1.1\r\n");
  AppendEndToEndHeaders(aRequest, head, [&](std::string_view aName, bool aNamed) {
    return aDialect.IsReservedHeader(aName) || EqualHeaderNames(aName, "Expect") ||
           (aNamed && !aDialect.IsAlwaysForwardedHeader(aName));
  });
  AttemptMetadata attempt;
  attempt.mEndpoint = aEndpoint;
  attempt.mTimeLeft = std::max(
    milliseconds(1), std::chrono::floor<milliseconds>(admission.mDeadline - aNow));
  if (admission.mAccount != nullptr) {
    attempt.mAccount = admission.mAccount->mName;
  }
  attempt.mPriority = gateway::PriorityAt(admission, aNow);
  const bool resumed = aExchange.mResponseHeadSent && aExchange.mEvents.LastId();
  attempt.mLastEventId =
    resumed ? *aExchange.mEvents.LastId() : admission.mMetadata.mLastEventId;
  aDialect.WriteAttemptHeaders(attempt, head);
  if (!aRequest.body().empty() || aRequest.method() != http::verb::get) {
    AppendHeader(head, "Content-Length", std::to_string(aRequest.body().size()));
  }
  return head.append("\r\n");
}

}
