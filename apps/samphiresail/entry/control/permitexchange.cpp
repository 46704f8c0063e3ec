#include "apps/samphiresail/entry/control/permitexchange.hpp"

#include <algorithm>
#include <utility>

namespace samphiresail::entry {

namespace {

using namespace std::chrono_literals;

constexpr timing::Duration kAnswerTimeout = 150ms;
constexpr timing::Duration kDefaultRetry = 1s;

std::uint32_t ToMilliseconds(timing::Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::ceil<std::chrono::milliseconds>(aDuration).count());
}

}

PermitExchange::PermitExchange(ControlState& aState,
                               Outbox& aOutbox,
                               limits::PermitHolder& aHolder)
  : mState(aState)
  , mOutbox(aOutbox)
  , mHolder(aHolder)
{
}

void PermitExchange::Tick(timing::Instant aNow)
{
  std::vector<Search> late;
  for (auto it = mSearches.begin(); it != mSearches.end();) {
    if (aNow - it->second.mAskedAt >= kAnswerTimeout) {
      late.push_back(std::move(it->second));
      it = mSearches.erase(it);
    } else {
      ++it;
    }
  }
  for (Search& search : late) {
    AskNext(std::move(search), aNow);
  }
}

limits::PermitReply PermitExchange::OwnAnswer(timing::Instant aNow)
{
  return mState.InTouch(aNow) ? mHolder.Request(aNow)
                              : limits::PermitReply{ {}, kDefaultRetry };
}

void PermitExchange::Request(std::uint64_t aId, timing::Instant aNow)
{
  const limits::PermitReply answer = OwnAnswer(aNow);
  if (!answer.mPermit.empty()) {
    mOutbox.Add(AnswerPermit{ aId, answer });
    return;
  }
  Search search{ aId, {}, aNow, answer.mRetryAfter };
  for (const limits::LimitShare& share : mState.mRights.mShares) {
    if (share.mAccount.Empty() && share.mMillionths > 0 &&
        share.mHolder != mState.Self().mName) {
      search.mLeft.push_back(share.mHolder);
    }
  }
  AskNext(std::move(search), aNow);
}

void PermitExchange::AskNext(Search aSearch, timing::Instant aNow)
{
  while (!aSearch.mLeft.empty()) {
    const auto holder = mState.mEntries.find(aSearch.mLeft.back());
    aSearch.mLeft.pop_back();
    if (holder == mState.mEntries.end()) {
      continue;
    }
    wire::Envelope envelope;
    envelope.mutable_permit_request()->set_nonce(++mLastNonce);
    mOutbox.Send(holder->second, std::move(envelope));
    aSearch.mAskedAt = aNow;
    mSearches[mLastNonce] = std::move(aSearch);
    return;
  }
  const timing::Duration retry = std::max(aSearch.mRetryAfter, timing::Duration(50ms));
  mOutbox.Add(AnswerPermit{ aSearch.mId, { {}, retry } });
}

void PermitExchange::OnRequest(const PeerMessage& aMessage, timing::Instant aNow)
{
  const limits::PermitReply answer = OwnAnswer(aNow);
  wire::Envelope envelope;
  wire::PermitGrant& grant = *envelope.mutable_permit_grant();
  grant.set_nonce(aMessage.mEnvelope.permit_request().nonce());
  grant.set_granted(!answer.mPermit.empty());
  grant.set_permit_id(answer.mPermit);
  grant.set_retry_after_ms(ToMilliseconds(answer.mRetryAfter));
  mOutbox.Reply(aMessage.mRoute, std::move(envelope));
}

void PermitExchange::OnGrant(const PeerMessage& aMessage, timing::Instant aNow)
{
  const wire::PermitGrant& grant = aMessage.mEnvelope.permit_grant();
  auto node = mSearches.extract(grant.nonce());
  if (node.empty()) {
    if (grant.granted() && !mOrigins.contains(grant.permit_id())) {
      SendRelease(aMessage.Sender(), grant.permit_id());
    }
    return;
  }
  Search& search = node.mapped();
  if (!grant.granted()) {
    search.mRetryAfter =
      std::min(search.mRetryAfter,
               timing::Duration(std::chrono::milliseconds(grant.retry_after_ms())));
    AskNext(std::move(search), aNow);
    return;
  }
  mOrigins[grant.permit_id()] = aMessage.Sender();
  mOutbox.Add(AnswerPermit{ search.mId, { grant.permit_id(), {} } });
}

void PermitExchange::Release(const std::string& aPermit, timing::Instant /*aNow*/)
{
  const auto node = mOrigins.extract(aPermit);
  if (node.empty()) {
    mHolder.Release(aPermit);
  } else {
    SendRelease(node.mapped(), aPermit);
  }
}

void PermitExchange::SendRelease(const ids::ProcessId& aHolder,
                                 const std::string& aPermit)
{
  const auto holder = mState.mEntries.find(aHolder);
  if (holder != mState.mEntries.end()) {
    wire::Envelope envelope;
    envelope.mutable_permit_release()->set_permit_id(aPermit);
    mOutbox.Send(holder->second, std::move(envelope));
  }
}

void PermitExchange::OnRelease(const PeerMessage& aMessage)
{
  mHolder.Release(aMessage.mEnvelope.permit_release().permit_id());
}

}
