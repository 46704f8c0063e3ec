#include "apps/samphiresail/entry/peerservice.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "apps/samphiresail/entry/entrytelemetry.hpp"
#include "apps/samphiresail/entry/sharedstate.hpp"

namespace samphiresail::entry {

namespace {

std::string StatusDocument(const EntryContext& aContext)
{
  const timing::Instant now = aContext.mClock.Now();
  nlohmann::json status{ { "role", "entry" },
                         { "name", aContext.mSettings.mCommon.mName.Str() },
                         { "in_touch", aContext.mState.IsInTouch(now) },
                         { "stopping", aContext.mState.IsStopping() } };
  if (const SnapshotPointer snapshot = aContext.mState.Snapshot()) {
    const auto& agents = snapshot->Agents();
    status["configuration_version"] = snapshot->Version().Count();
    status["agents"] = agents.size();
    status["agents_serving"] = std::ranges::count_if(agents, &AgentRow::mServing);
    status["accounts"] = snapshot->Configuration().mCatalogue.mClientAccounts.size();
    status["models"] = snapshot->Configuration().mCatalogue.mModels.size();
  }
  return status.dump();
}

}

std::optional<wire::Envelope> AnswerOperator(const EntryContext& aContext,
                                             const wire::Envelope& aQuestion)
{
  wire::Envelope answer;
  if (aQuestion.has_timeline_request()) {
    *answer.mutable_timeline_reply() =
      aContext.mTelemetry.Timeline().Answer(aQuestion.timeline_request());
    return answer;
  }
  if (aQuestion.has_status_request()) {
    answer.mutable_status_reply()->set_nonce(aQuestion.status_request().nonce());
    answer.mutable_status_reply()->set_document(StatusDocument(aContext));
    return answer;
  }
  return std::nullopt;
}

}
