#include "apps/samphiresail/entry/control/freshness.hpp"

#include <algorithm>

#include "components/store/storekeys.hpp"

namespace samphiresail::entry {

using membership::Member;
using membership::Versions;

namespace {

/// The roster is asked once the evidence is older than this part of the in-touch limit.
constexpr int kOldFraction = 3;

Versions ReadVersions(const wire::FreshnessReply& aReply)
{
  return { units::Version(aReply.configuration_version()),
           units::Version(aReply.roster_version()),
           units::Version(aReply.rights_version()) };
}

}

Freshness::Freshness(ControlState& aState, Outbox& aOutbox)
  : mState(aState)
  , mOutbox(aOutbox)
{
}

void Freshness::Tick(bool aAskElectors, timing::Instant aNow)
{
  if (mLastAsked && aNow - *mLastAsked < mState.mSettings.mPollInterval) {
    return;
  }
  mLastAsked = aNow;
  const timing::Duration old = mState.mSettings.mTimes.mInTouch / kOldFraction;
  const bool isOld = !mState.mFreshnessTracker.InTouch(aNow, old);
  if (isOld || aAskElectors) {
    for (const Member& elector : membership::Electors(mState.mRoster)) {
      Ask(elector, true, aNow);
    }
  }
  const auto relay = mState.FirstFor("relay", &mState.Self().mAvailabilityZone, aNow);
  if (relay) {
    Ask(*relay, false, aNow);
  }
}

void Freshness::Ask(const Member& aPeer, bool aPoll, timing::Instant aNow)
{
  if (aPeer.IsSame(mState.Self())) {
    return;
  }
  wire::Envelope envelope;
  envelope.mutable_freshness()->set_nonce(
    mState.mFreshnessTracker.RecordQuery(aPeer, aNow));
  envelope.mutable_freshness()->set_poll(aPoll);
  mOutbox.Send(aPeer, std::move(envelope));
}

void Freshness::OnQuestion(const PeerMessage& aMessage, timing::Instant aNow)
{
  const Versions versions = mState.Versions();
  wire::Envelope envelope;
  wire::FreshnessReply& reply = *envelope.mutable_freshness_reply();
  reply.set_nonce(aMessage.mEnvelope.freshness().nonce());
  reply.set_configuration_version(versions.mConfiguration.Count());
  reply.set_roster_version(versions.mRoster.Count());
  reply.set_rights_version(versions.mRights.Count());
  if (mState.InTouch(aNow)) {
    const auto age = aNow - *mState.mFreshnessTracker.FreshAsOf();
    reply.set_in_touch(true);
    // Rounded up: the answer must not make the evidence look younger.
    reply.set_evidence_age_us(static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::microseconds>(age).count()));
  }
  mOutbox.Reply(aMessage.mRoute, std::move(envelope));
  if (const auto peer = FindPeer(aMessage)) {
    const wire::Envelope& question = aMessage.mEnvelope;
    FetchMissing(*peer,
                 { units::Version(question.configuration_version()),
                   units::Version(question.roster_version()),
                   {} });
  }
}

void Freshness::OnAnswer(const PeerMessage& aMessage, timing::Instant aNow)
{
  const wire::FreshnessReply& reply = aMessage.mEnvelope.freshness_reply();
  membership::PeerFreshness answer{ reply.nonce(), ReadVersions(reply), std::nullopt };
  if (reply.in_touch()) {
    answer.mStaleness = std::chrono::microseconds(reply.evidence_age_us());
  }
  mState.mFreshnessTracker.OnReply(
    aMessage.Sender(), aMessage.SenderIncarnation(), answer, aNow);
  if (const auto peer = FindPeer(aMessage)) {
    FetchMissing(*peer, answer.mVersions);
  }
}

void Freshness::FetchMissing(const Member& aPeer, const Versions& aStated)
{
  const Versions own = mState.Versions();
  if (own.mConfiguration < aStated.mConfiguration) {
    Fetch(aPeer, store::kConfigurationKey, own.mConfiguration);
  }
  if (own.mRoster < aStated.mRoster) {
    Fetch(aPeer, store::kRosterKey, own.mRoster);
  }
  if (own.mRights < aStated.mRights) {
    Fetch(aPeer, store::kRightsKey, own.mRights);
  }
}

void Freshness::Fetch(const Member& aPeer, const char* aKey, units::Version aHeld)
{
  wire::Envelope envelope;
  envelope.mutable_record_request()->set_name(aKey);
  envelope.mutable_record_request()->set_version_held(aHeld.Count());
  mOutbox.Send(aPeer, std::move(envelope));
}

void Freshness::OnRecordRequest(const PeerMessage& aMessage)
{
  const wire::RecordRequest& request = aMessage.mEnvelope.record_request();
  const AdoptedRecord* record = mState.FindRecord(request.name());
  if (record == nullptr || record->mVersion <= units::Version(request.version_held())) {
    return;
  }
  wire::Envelope envelope;
  wire::RecordReply& reply = *envelope.mutable_record_reply();
  reply.set_name(request.name());
  reply.set_version(record->mVersion.Count());
  reply.set_value(record->mValue);
  mOutbox.Reply(aMessage.mRoute, std::move(envelope));
}

void Freshness::OnRecordReply(const PeerMessage& aMessage)
{
  const wire::RecordReply& reply = aMessage.mEnvelope.record_reply();
  mState.AdoptRecord(reply.name(), reply.value());
}

std::optional<Member> Freshness::FindPeer(const PeerMessage& aMessage) const
{
  const auto it = mState.mEntries.find(aMessage.Sender());
  if (it != mState.mEntries.end()) {
    return it->second;
  }
  const auto electors = membership::Electors(mState.mRoster);
  const auto elector = std::ranges::find(electors, aMessage.Sender(), &Member::mName);
  return elector == electors.end() ? std::nullopt : std::optional(*elector);
}

}
