#include "components/frontend/attempttext.hpp"

#include <algorithm>
#include <chrono>

#include "components/frontend/messagetext.hpp"

namespace samphiresail::frontend {

using std::chrono::milliseconds;

std::string BuildAttempt(const Dialect& aDialect,
                         const CallerRequest& aRequest,
                         const Exchange& aExchange,
                         const ids::EndpointId& aEndpoint,
                         timing::Instant aNow)
{
  const gateway::Admission& admission = aExchange.mAdmission;
  std::string head;
  head.append(View(aRequest.method_string()))
    .append(" ")
    .append(View(aRequest.target()))
    .append(" HTTP/1.1\r\n");
  AppendEndToEnd(aRequest, head, [&](std::string_view aName, bool aNamed) {
    return aDialect.Reserved(aName) || Same(aName, "Expect") ||
           (aNamed && !aDialect.Essential(aName));
  });
  AttemptFacts facts;
  facts.mEndpoint = aEndpoint;
  facts.mTimeLeft = std::max(
    milliseconds(1), std::chrono::floor<milliseconds>(admission.mDeadline - aNow));
  if (admission.mAccount != nullptr) {
    facts.mAccount = admission.mAccount->mName;
  }
  facts.mPriority = admission.mPriority;
  const bool resumed = aExchange.mHeadSent && aExchange.mEvents.LastId();
  facts.mLastEventId =
    resumed ? *aExchange.mEvents.LastId() : admission.mMetadata.mLastEventId;
  aDialect.WriteAttempt(facts, head);
  if (!aRequest.body().empty() || aRequest.method() != http::verb::get) {
    AppendLine(head, "Content-Length", std::to_string(aRequest.body().size()));
  }
  return head.append("\r\n").append(aRequest.body());
}

}
