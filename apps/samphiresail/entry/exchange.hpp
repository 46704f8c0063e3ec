#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_EXCHANGE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_EXCHANGE_HPP

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "apps/samphiresail/entry/admissioncharge.hpp"
#include "apps/samphiresail/entry/answer.hpp"
#include "apps/samphiresail/entry/attemptrun.hpp"
#include "apps/samphiresail/entry/callerrequest.hpp"
#include "apps/samphiresail/entry/entrycontext.hpp"
#include "apps/samphiresail/entry/streamtranscript.hpp"
#include "components/retry/retrypolicy.hpp"

namespace samphiresail::entry {

/// Serves one request that may run more than once: sends attempts until one answers and
/// hands out the answer. A stream that breaks is continued at another endpoint.
class Exchange
{
public:
  Exchange(EntryContext& aContext, CallerRequest aRequest, AdmissionCharge aCharge);
  ~Exchange();

  /// Waits for the whole answer. Throws ApiError.
  Answer RunUnary();

  /// Waits for the next part of a streamed answer; returns nothing after the last part.
  /// Throws ApiError.
  std::optional<std::string> NextPart();

  /// Status of the answer; known once the first part is there.
  int Status() const { return mAnswer.mStatus; }

private:
  void TryStartAttempt();
  void StartAttempt();
  void OnRefused(const wire::Refuse& aRefuse);
  void OnNotSent();
  void OnBroken();
  /// Tries elsewhere and gives the endpoint a pause.
  void LeaveEndpoint();
  void NoteFailure(std::string_view aReason);
  void OnChunk(const AttemptChunk& aChunk);
  bool OnCompleted(const wire::Complete& aComplete);
  void CheckWhileWaiting();
  void Retry(retry::Failure aFailure, std::chrono::milliseconds aRetryAfter);
  void ExcludeEndpoint();
  [[noreturn]] void Fail(retry::Failure aFailure, std::chrono::milliseconds aRetryAfter);
  [[noreturn]] void FailDeadline();
  bool Step();

  EntryContext& mContext;
  CallerRequest mRequest;
  AdmissionCharge mCharge;
  timing::Instant mDeadline;
  std::unique_ptr<AttemptRun> mRun;
  std::vector<ids::EndpointId> mExcluded;
  retry::RetryHistory mHistory;
  /// True once an attempt may have run at an endpoint.
  bool mMayHaveRun{ false };
  StreamTranscript mTranscript;
  Answer mAnswer;
  bool mComplete{ false };
};

}

#endif
