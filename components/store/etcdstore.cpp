#include "components/store/etcdstore.hpp"

#include <utility>

#include <httplib.h>

#include "components/store/etcdcodec.hpp"

namespace samphiresail::store {

EtcdStore::EtcdStore(std::string aUrl)
  : mUrl(std::move(aUrl))
{
}

EtcdStore::~EtcdStore() = default;

StoreReply EtcdStore::Execute(const StoreRequest& aRequest,
                              std::chrono::milliseconds aTimeout)
{
  const EtcdCall call = EncodeEtcdCall(aRequest);
  const std::lock_guard lock(mMutex);
  if (!mClient) {
    mClient = std::make_unique<httplib::Client>(mUrl);
    mClient->set_keep_alive(true);
    mClient->set_tcp_nodelay(true);
  }
  mClient->set_connection_timeout(aTimeout);
  mClient->set_read_timeout(aTimeout);
  mClient->set_write_timeout(aTimeout);
  const auto result = mClient->Post(call.mPath, call.mBody, "application/json");
  if (!result) {
    mClient.reset();
    const bool notSent = result.error() == httplib::Error::Connection;
    return { .mOutcome = notSent ? StoreOutcome::NotSent : StoreOutcome::Unknown };
  }
  if (result->status != 200) {
    return { .mOutcome = StoreOutcome::Unknown };
  }
  return DecodeEtcdReply(aRequest, result->body)
    .value_or(StoreReply{ .mOutcome = StoreOutcome::Unknown });
}

}
