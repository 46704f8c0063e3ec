#ifndef SAMPHIRESAIL_APPS_TESTS_ENTRY_SERVING_SERVINGFIXTURE_HPP
#define SAMPHIRESAIL_APPS_TESTS_ENTRY_SERVING_SERVINGFIXTURE_HPP

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "apps/samphiresail/entry/admissioncharge.hpp"
#include "apps/samphiresail/entry/agentlink.hpp"
#include "apps/samphiresail/entry/callerrequest.hpp"
#include "apps/samphiresail/entry/entrycontext.hpp"
#include "apps/samphiresail/entry/entrytelemetry.hpp"
#include "apps/samphiresail/entry/loadondemand.hpp"
#include "apps/samphiresail/entry/operationlog.hpp"
#include "apps/samphiresail/entry/sharedstate.hpp"
#include "apps/tests/support/memorystore.hpp"
#include "components/limits/creditpool.hpp"
#include "components/retry/retrybudget.hpp"
#include "components/routing/endpointtable.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::tests {

/// Key of the client account in the fixture's configuration.
inline constexpr char kTestKey[] = "ssk_test";

/// Configuration with one client account, one model and one service with a call that must
/// run at most once.
catalogue::Configuration MakeServingConfiguration();

/// Traffic part of an entry before two agents that the test plays.
class ServingFixture
{
public:
  using Agent =
    std::function<void(const transport::PeerAddress& aAddress, const wire::Envelope&)>;

  ServingFixture();

  /// Sets what the agents do with an envelope; called on the thread that sends.
  void SetAgent(Agent aAgent) { mAgent = std::move(aAgent); }

  /// Answers as an agent.
  void Answer(const transport::PeerAddress& aAddress, const wire::Envelope& aEnvelope);

  /// Envelopes of a kind sent so far.
  std::vector<wire::Envelope> Sent(wire::Envelope::BodyCase aKind) const;
  int Reopened() const { return mReopened; }

  void Publish(const catalogue::Configuration& aConfiguration);
  void Withdraw();

  entry::EntryContext& Context() { return mContext; }
  MemoryStore& Store() { return mStore; }
  limits::CreditPool& Credit() { return mCredit; }

  /// Builds a checked chat request of the fixture's account.
  entry::CallerRequest Chat(bool aStream);
  /// Builds a checked booking with an idempotency key.
  entry::CallerRequest Booking(const std::string& aKey, const std::string& aBody = "{}");
  entry::AdmissionCharge Charge(const entry::CallerRequest& aRequest);

private:
  void Send(const transport::PeerAddress& aAddress, const wire::Envelope& aEnvelope);

  timing::SystemClock mClock;
  settings::EntrySettings mSettings;
  MemoryStore mStore{ mClock };
  std::mutex mStoreMutex;
  entry::EntryTelemetry mTelemetry;
  entry::SharedState mState{ std::chrono::hours(1) };
  limits::CreditPool mCredit;
  retry::RetryBudget mRetries;
  routing::EndpointTable mEndpoints;
  entry::LoadOnDemand mLoads;
  entry::OperationLog mOperations;
  entry::AgentLink mAgents;
  entry::EntryContext mContext;
  Agent mAgent;
  mutable std::mutex mMutex;
  std::vector<wire::Envelope> mSent;
  int mReopened{ 0 };
};

/// Builders of an agent's answers to a submit.
wire::Envelope MakeChunk(const wire::Submit& aSubmit,
                         std::uint64_t aSequence,
                         const std::string& aData);
wire::Envelope MakeComplete(const wire::Submit& aSubmit,
                            std::uint64_t aChunks,
                            wire::CompletionState aState = wire::COMPLETED);
wire::Envelope MakeRefuse(const wire::Submit& aSubmit, wire::RefuseReason aReason);
wire::Envelope MakeAcknowledge(const wire::Submit& aSubmit);

}

#endif
