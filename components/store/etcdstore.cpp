#include "components/store/etcdstore.hpp"

#include "components/store/etcdcodec.hpp"

namespace samphiresail::store {

EtcdStore::EtcdStore(const std::string& aUrl)
  : mClient(aUrl, {})
{
}

StoreReply EtcdStore::Execute(const StoreRequest& aRequest,
                              std::chrono::milliseconds aTimeout)
{
  const EtcdCall call = EncodeEtcdCall(aRequest);
  const std::lock_guard lock(mMutex);
  mClient.SetTimeouts({ aTimeout, aTimeout, aTimeout, aTimeout });
  const httpclient::Reply reply = mClient.Call({ .mMethod = "POST",
                                                 .mTarget = call.mPath,
                                                 .mBody = call.mBody,
                                                 .mContentType = "application/json" });
  if (reply.mOutcome != httpclient::Outcome::Answered) {
    const bool notSent = reply.mOutcome == httpclient::Outcome::Unreachable;
    return { .mOutcome = notSent ? StoreOutcome::NotSent : StoreOutcome::Unknown };
  }
  if (reply.mHead.mStatus != 200) {
    return { .mOutcome = StoreOutcome::Unknown };
  }
  return DecodeEtcdReply(aRequest, reply.mBody)
    .value_or(StoreReply{ .mOutcome = StoreOutcome::Unknown });
}

}
