#include "apps/samphiresail/entry/control/creditexchange.hpp"

#include <algorithm>
#include <iterator>

namespace samphiresail::entry {

using limits::LimitShare;
using units::Tokens;

namespace {

Tokens ReadTokens(std::uint64_t aTokens)
{
  return Tokens(static_cast<std::int64_t>(aTokens));
}

limits::GrantKey KeyOf(const PeerMessage& aMessage, std::uint64_t aNonce)
{
  return { aMessage.Sender(), aMessage.SenderIncarnation(), aNonce };
}

}

CreditExchange::CreditExchange(ControlState& aState,
                               Outbox& aOutbox,
                               limits::ShareHolder& aHolder,
                               limits::CreditPool& aPool)
  : mState(aState)
  , mOutbox(aOutbox)
  , mHolder(aHolder)
  , mPool(aPool)
  , mRequester(aState.mSettings.mTimes.mGrantLife)
{
}

void CreditExchange::Tick(timing::Instant aNow)
{
  const ids::ProcessId nearest = NearestHolder();
  // Taken first: the reports below then cover the charges that are refunded.
  const std::vector<limits::Refund> refunds = mPool.TakeRefunds();
  for (const limits::AccountActivity& activity : mPool.TakeActivity(aNow)) {
    std::vector<LimitShare> shares;
    std::ranges::copy_if(
      mState.mRights.mShares, std::back_inserter(shares), [&](const LimitShare& aShare) {
        return aShare.mAccount == activity.mAccount;
      });
    const bool flush = std::ranges::any_of(refunds, [&](const limits::Refund& aRefund) {
      return aRefund.mAccount == activity.mAccount;
    });
    for (const auto& ask : mRequester.Plan(activity, shares, nearest, flush, aNow)) {
      SendAsk(ask, aNow);
    }
    if (mRequester.IsIdle(activity, aNow)) {
      mPool.EndGrants(activity.mAccount, aNow);
    }
  }
  for (const limits::Refund& refund : refunds) {
    SendRefund(refund, aNow);
  }
}

void CreditExchange::SendAsk(const limits::CreditRequestMessage& aAsk,
                             timing::Instant aNow)
{
  if (aAsk.mHolder == mState.Self().mName) {
    ServeAsk(aAsk, aNow);
    return;
  }
  const auto holder = FindHolder(aAsk.mHolder);
  if (!holder) {
    return;
  }
  wire::Envelope envelope;
  wire::CreditRequest& request = *envelope.mutable_credit_request();
  request.set_nonce(aAsk.mNonce);
  request.set_client_account(aAsk.mAccount.Str());
  request.set_tokens(static_cast<std::uint64_t>(aAsk.mTokens.Count()));
  for (const limits::GrantUse& use : aAsk.mUses) {
    wire::GrantUse& out = *request.add_uses();
    out.set_nonce(use.mOrigin.mNonce);
    out.set_spent(static_cast<std::uint64_t>(use.mSpent.Count()));
    out.set_closed(use.mClosed);
  }
  mOutbox.Send(*holder, std::move(envelope));
}

void CreditExchange::ServeAsk(const limits::CreditRequestMessage& aAsk,
                              timing::Instant aNow)
{
  for (const limits::GrantUse& use : aAsk.mUses) {
    mHolder.Report(
      aAsk.mAccount, OwnKey(use.mOrigin.mNonce), use.mSpent, use.mClosed, aNow);
  }
  if (aAsk.mTokens.Count() > 0) {
    const Tokens tokens = Grant(aAsk.mAccount, OwnKey(aAsk.mNonce), aAsk.mTokens, aNow);
    Accept(mState.Self().mName, aAsk.mNonce, tokens, aNow);
  }
}

void CreditExchange::SendRefund(const limits::Refund& aRefund, timing::Instant aNow)
{
  if (aRefund.mOrigin.mHolder == mState.Self().mName) {
    mHolder.Refund(aRefund.mAccount,
                   OwnKey(aRefund.mOrigin.mNonce),
                   aRefund.mSpent,
                   aRefund.mTokens,
                   aNow);
    return;
  }
  const auto holder = FindHolder(aRefund.mOrigin.mHolder);
  if (!holder) {
    return;
  }
  wire::Envelope envelope;
  wire::CreditRefund& refund = *envelope.mutable_credit_refund();
  refund.set_client_account(aRefund.mAccount.Str());
  refund.set_tokens(static_cast<std::uint64_t>(aRefund.mTokens.Count()));
  refund.set_nonce(++mLastRefund);
  refund.set_grant_nonce(aRefund.mOrigin.mNonce);
  refund.set_grant_spent(static_cast<std::uint64_t>(aRefund.mSpent.Count()));
  mOutbox.Send(*holder, std::move(envelope));
}

Tokens CreditExchange::Grant(const ids::ClientAccountId& aAccount,
                             const limits::GrantKey& aKey,
                             Tokens aWanted,
                             timing::Instant aNow)
{
#ifndef SAMPHIRESAIL_MUTANT_GRANT_IN_TOUCH
  if (!mState.InTouch(aNow)) {
    return Tokens(0);
  }
#endif
  return mHolder.Grant(aAccount, aKey, aWanted, aNow);
}

void CreditExchange::Accept(const ids::ProcessId& aHolder,
                            std::uint64_t aNonce,
                            Tokens aTokens,
                            timing::Instant aNow)
{
  if (const auto grant = mRequester.OnGrant(aHolder, aNonce, aTokens, aNow)) {
    mPool.AddGrant(grant->mAccount, grant->mOrigin, grant->mTokens, grant->mExpiry);
  }
}

void CreditExchange::OnRequest(const PeerMessage& aMessage, timing::Instant aNow)
{
  const wire::CreditRequest& request = aMessage.mEnvelope.credit_request();
  const ids::ClientAccountId account(request.client_account());
  for (const wire::GrantUse& use : request.uses()) {
    mHolder.Report(
      account, KeyOf(aMessage, use.nonce()), ReadTokens(use.spent()), use.closed(), aNow);
  }
  if (request.tokens() == 0) {
    return;
  }
  const Tokens tokens =
    Grant(account, KeyOf(aMessage, request.nonce()), ReadTokens(request.tokens()), aNow);
  wire::Envelope envelope;
  wire::CreditGrant& grant = *envelope.mutable_credit_grant();
  grant.set_nonce(request.nonce());
  grant.set_client_account(request.client_account());
  grant.set_tokens(static_cast<std::uint64_t>(tokens.Count()));
  grant.set_rights_version(mState.mRightsRecord.mVersion.Count());
  mOutbox.Reply(aMessage.mRoute, std::move(envelope));
}

void CreditExchange::OnGrant(const PeerMessage& aMessage, timing::Instant aNow)
{
  const wire::CreditGrant& grant = aMessage.mEnvelope.credit_grant();
  Accept(aMessage.Sender(), grant.nonce(), ReadTokens(grant.tokens()), aNow);
}

void CreditExchange::OnRefund(const PeerMessage& aMessage, timing::Instant aNow)
{
  const wire::CreditRefund& refund = aMessage.mEnvelope.credit_refund();
  mHolder.Refund(ids::ClientAccountId(refund.client_account()),
                 KeyOf(aMessage, refund.grant_nonce()),
                 ReadTokens(refund.grant_spent()),
                 ReadTokens(refund.tokens()),
                 aNow);
}

limits::GrantKey CreditExchange::OwnKey(std::uint64_t aNonce) const
{
  return { mState.Self().mName, mState.Self().mIncarnation, aNonce };
}

ids::ProcessId CreditExchange::NearestHolder() const
{
  const auto isNear = [&](const LimitShare& aShare) {
    const auto it = mState.mEntries.find(aShare.mHolder);
    return !aShare.mAccount.Empty() && it != mState.mEntries.end() &&
           it->second.mAvailabilityZone == mState.Self().mAvailabilityZone;
  };
  const auto it = std::ranges::find_if(mState.mRights.mShares, isNear);
  return it == mState.mRights.mShares.end() ? ids::ProcessId() : it->mHolder;
}

std::optional<membership::Member> CreditExchange::FindHolder(
  const ids::ProcessId& aName) const
{
  const auto it = mState.mEntries.find(aName);
  return it == mState.mEntries.end() ? std::nullopt : std::optional(it->second);
}

}
