#include "apps/tests/entry/serving/servingfixture.hpp"

#include <algorithm>
#include <iterator>
#include <memory>

#include "apps/samphiresail/entry/admissioncharge.hpp"
#include "apps/samphiresail/entry/authentication.hpp"
#include "components/credentials/key.hpp"

namespace samphiresail::tests {

namespace {

constexpr std::uint64_t kAgentIncarnation = 7;
const char* const kAddresses[] = { "agent-1:1", "agent-2:1" };
const char* const kServiceAddress = "agent-3:1";

entry::AgentRow MakeAgent(const std::string& aName,
                          const std::string& aPool,
                          const std::string& aAddress)
{
  return { .mEndpoint = ids::EndpointId(aName),
           .mPool = ids::PoolId(aPool),
           .mAddress = aAddress,
           .mIncarnation = units::Incarnation(kAgentIncarnation),
           .mAvailabilityZone = ids::AvailabilityZoneId("zone-a") };
}

std::vector<entry::AgentRow> MakeAgents()
{
  return { MakeAgent("ep-1", "engines", kAddresses[0]),
           MakeAgent("ep-2", "engines", kAddresses[1]),
           MakeAgent("ep-3", "bookings", kServiceAddress),
           MakeAgent("ep-4", "bookings", "agent-4:1") };
}

settings::EntrySettings MakeSettings()
{
  settings::EntrySettings settings;
  settings.mCommon.mName = ids::ProcessId("entry-1");
  settings.mCommon.mLogLevel = "error";
  settings.mSilence = std::chrono::milliseconds(100);
  settings.mCreditWait = std::chrono::milliseconds(0);
  return settings;
}

}

catalogue::Configuration MakeServingConfiguration()
{
  catalogue::Configuration configuration;
  configuration.mVersion = units::Version(1);
  catalogue::Catalogue& catalogue = configuration.mCatalogue;
  catalogue.mClientAccounts.push_back({ .mName = ids::ClientAccountId("depots"),
                                        .mRate = units::TokensPerSecond(1000),
                                        .mBurst = units::Tokens(10000) });
  catalogue.mModels.push_back({ .mName = ids::ModelId("assistant"),
                                .mPool = ids::PoolId("engines"),
                                .mMaxOutput = units::Tokens(100),
                                .mMaxPrompt = units::Tokens(1000) });
  catalogue.mPools.push_back({ .mName = ids::PoolId("engines") });
  catalogue.mPools.push_back(
    { .mName = ids::PoolId("bookings"), .mKind = catalogue::PoolKind::Service });
  catalogue.mServices.push_back(
    { .mName = ids::ServiceId("booking"),
      .mPool = ids::PoolId("bookings"),
      .mRoute = "/booking",
      .mCalls = { { .mMethod = "POST", .mPath = "/bookings", .mRepeatable = false },
                  { .mMethod = "GET", .mPath = "/stock/*" } } });
  catalogue.mServices.push_back({ .mName = ids::ServiceId("hours"),
                                  .mPool = ids::PoolId("bookings"),
                                  .mRoute = "/hours",
                                  .mOpen = true,
                                  .mCalls = { { .mMethod = "GET", .mPath = "/*" } } });
  configuration.mKeys.push_back(
    { credentials::HashKey(kTestKey), ids::ClientAccountId("depots"), "depots-1" });
  return configuration;
}

ServingFixture::ServingFixture()
  : mSettings(MakeSettings())
  , mTelemetry(mSettings, units::Incarnation(1), mClock)
  , mOperations(
      [this](const store::StoreRequest& aRequest, std::chrono::milliseconds aTimeout) {
        const std::lock_guard lock(mStoreMutex);
        return mStore.Execute(aRequest, aTimeout);
      },
      std::chrono::milliseconds(100))
  , mAgents([this](const auto& aAddress,
                   const wire::Envelope& aEnvelope) { Send(aAddress, aEnvelope); },
            [this](const auto&) { ++mReopened; })
  , mContext{
    mSettings, units::Incarnation(1), mClock, mState,    mCredit, mRetries, mEndpoints,
    mAgents,   mOperations,           mLoads, mTelemetry
  }
{
  for (const entry::AgentRow& agent : MakeAgents()) {
    mEndpoints.Put({ .mName = agent.mEndpoint,
                     .mPool = agent.mPool,
                     .mAvailabilityZone = agent.mAvailabilityZone,
                     .mAddress = agent.mAddress,
                     .mIncarnation = agent.mIncarnation });
    mEndpoints.ReportLoad(agent.mEndpoint, { .mInFlightLimit = 8 }, mClock.Now());
    mEndpoints.ReportModels(
      agent.mEndpoint,
      { { .mModel = ids::ModelId("assistant"), .mResident = true } },
      mClock.Now());
  }
  Publish(MakeServingConfiguration());
  mState.SetEvidence(mClock.Now());
  mCredit.AddGrant(ids::ClientAccountId("depots"),
                   {},
                   units::Tokens(100000),
                   mClock.Now() + std::chrono::hours(1));
}

void ServingFixture::Publish(const catalogue::Configuration& aConfiguration)
{
  mState.Publish(std::make_shared<entry::RoutingSnapshot>(
    std::make_shared<catalogue::Configuration>(aConfiguration), MakeAgents()));
}

void ServingFixture::Withdraw()
{
  catalogue::Configuration configuration = MakeServingConfiguration();
  configuration.mVersion = units::Version(2);
  configuration.mKeys.clear();
  Publish(configuration);
}

void ServingFixture::Send(const transport::PeerAddress& aAddress,
                          const wire::Envelope& aEnvelope)
{
  {
    const std::lock_guard lock(mMutex);
    mSent.push_back(aEnvelope);
  }
  mAgent(aAddress, aEnvelope);
}

void ServingFixture::Answer(const transport::PeerAddress& aAddress,
                            const wire::Envelope& aEnvelope)
{
  mAgents.OnEnvelope(aAddress, aEnvelope);
}

std::vector<wire::Envelope> ServingFixture::Sent(wire::Envelope::BodyCase aKind) const
{
  const std::lock_guard lock(mMutex);
  std::vector<wire::Envelope> sent;
  std::ranges::copy_if(mSent, std::back_inserter(sent), [aKind](const auto& aEnvelope) {
    return aEnvelope.body_case() == aKind;
  });
  return sent;
}

entry::CallerRequest ServingFixture::Chat(bool aStream)
{
  entry::RawRequest raw{ .mMethod = "POST",
                         .mPath = "/v1/chat/completions",
                         .mTarget = "/v1/chat/completions" };
  raw.mBody = std::string(R"({"model":"assistant","max_tokens":20,"stream":)") +
              (aStream ? "true" : "false") +
              R"(,"messages":[{"role":"user","content":"a question"}]})";
  entry::CallerRequest authenticated;
  const auto snapshot = mState.Snapshot();
  entry::Authenticate(
    mContext, *snapshot, std::string("Bearer ") + kTestKey, authenticated);
  auto request = entry::ParseCallerRequest(raw, *snapshot, std::move(authenticated));
  request.mId = ids::RequestId("req-1");
  return request;
}

entry::CallerRequest ServingFixture::Booking(const std::string& aKey,
                                             const std::string& aBody)
{
  const entry::RawRequest raw{ .mMethod = "POST",
                               .mPath = "/booking/bookings",
                               .mTarget = "/booking/bookings",
                               .mBody = aBody,
                               .mIdempotencyKey = aKey };
  entry::CallerRequest authenticated;
  const auto snapshot = mState.Snapshot();
  entry::Authenticate(
    mContext, *snapshot, std::string("Bearer ") + kTestKey, authenticated);
  return entry::ParseCallerRequest(raw, *snapshot, std::move(authenticated));
}

entry::AdmissionCharge ServingFixture::Charge(const entry::CallerRequest& aRequest)
{
  return { mContext, aRequest, *mState.Snapshot() };
}

wire::Envelope MakeChunk(const wire::Submit& aSubmit,
                         std::uint64_t aSequence,
                         const std::string& aData)
{
  wire::Envelope envelope;
  wire::Chunk* chunk = envelope.mutable_chunk();
  chunk->set_attempt_id(aSubmit.attempt_id());
  chunk->set_sequence(aSequence);
  chunk->set_data(aData);
  chunk->set_http_status(aSequence == 0 ? 200 : 0);
  return envelope;
}

wire::Envelope MakeComplete(const wire::Submit& aSubmit,
                            std::uint64_t aChunks,
                            wire::CompletionState aState)
{
  wire::Envelope envelope;
  wire::Complete* complete = envelope.mutable_complete();
  complete->set_attempt_id(aSubmit.attempt_id());
  complete->set_state(aState);
  complete->set_http_status(200);
  complete->set_chunk_count(aChunks);
  complete->mutable_usage()->set_prompt_tokens(3);
  complete->mutable_usage()->set_output_tokens(2);
  complete->mutable_load()->set_in_flight_limit(8);
  return envelope;
}

wire::Envelope MakeRefuse(const wire::Submit& aSubmit, wire::RefuseReason aReason)
{
  wire::Envelope envelope;
  envelope.mutable_refuse()->set_attempt_id(aSubmit.attempt_id());
  envelope.mutable_refuse()->set_reason(aReason);
  envelope.mutable_refuse()->set_fresh_ticket("fresh");
  return envelope;
}

wire::Envelope MakeAcknowledge(const wire::Submit& aSubmit)
{
  wire::Envelope envelope;
  envelope.mutable_acknowledge()->set_attempt_id(aSubmit.attempt_id());
  return envelope;
}

}
