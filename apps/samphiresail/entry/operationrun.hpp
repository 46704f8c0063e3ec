#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_OPERATIONRUN_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_OPERATIONRUN_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "apps/samphiresail/entry/admissioncharge.hpp"
#include "apps/samphiresail/entry/answer.hpp"
#include "apps/samphiresail/entry/callerrequest.hpp"
#include "apps/samphiresail/entry/entrycontext.hpp"
#include "apps/samphiresail/entry/operationlog.hpp"
#include "components/routing/endpointtable.hpp"
#include "components/timing/clock.hpp"
#include "components/transport/peerclient.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

/// Serves one call that must run at most once. A call with an idempotency key is recorded
/// in the platform's store before it is dispatched; without one it is dispatched at most
/// once and never tried again after that.
class OperationRun
{
public:
  OperationRun(EntryContext& aContext, CallerRequest aRequest, AdmissionCharge aCharge);

  /// Returns the answer of the one run, also if an earlier call with the same key made
  /// it. Throws ApiError.
  Answer Run();

private:
  bool IsRecorded() const { return !mKey.empty(); }
  Answer RunAttempts();
  /// Withdraws the record, so that no other call can take it over once this call says
  /// that nothing has run. Returns false if another call may have run the action
  /// meanwhile.
  bool ReleaseRecord();
  void ChooseAttempt();
  std::optional<Answer> Claim();
  std::optional<Answer> ResolveExisting(const WriteResult& aFound);
  std::optional<Answer> AskEarlierAgent(const wire::OperationRecord& aRecord);
  std::optional<wire::TombstoneReply> AskTombstone(
    const wire::OperationRecord& aRecord,
    const transport::PeerAddress& aAddress);
  std::optional<Answer> Dispatch();
  Answer OnCompleted(const wire::Complete& aComplete, std::string aBody);
  void RecordDone(const Answer& aAnswer);
  [[noreturn]] void FailUnknown(const std::string& aMessage, bool aRecord);
  void OnRefused(const wire::Refuse& aRefuse);
  void OnNotSent();
  void NoteFailure(std::string_view aReason);
  wire::OperationRecord MakeRecord(wire::OperationRecord::State aState) const;

  EntryContext& mContext;
  CallerRequest mRequest;
  AdmissionCharge mCharge;
  timing::Instant mDeadline;
  std::string mKey;
  std::string mDigest;
  ids::AttemptId mAttempt;
  routing::EndpointDescription mEndpoint;
  std::vector<ids::EndpointId> mExcluded;
  /// Revision of the record in the store as this call last saw it.
  std::int64_t mRevision{ 0 };
  bool mHasRecord{ false };
  /// True if a write of this call got no answer and may still take effect.
  bool mHasLostWrite{ false };
  std::uint32_t mRefusals{ 0 };
};

}

#endif
