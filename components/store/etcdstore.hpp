#ifndef SAMPHIRESAIL_COMPONENTS_STORE_ETCDSTORE_HPP
#define SAMPHIRESAIL_COMPONENTS_STORE_ETCDSTORE_HPP

#include <chrono>
#include <mutex>
#include <string>

#include "components/httpclient/client.hpp"
#include "components/store/keyvaluestore.hpp"

namespace samphiresail::store {

/// Client of the platform's key-value service over etcd's v3 JSON gateway. Calls from
/// several threads take turns. A connection that timed out is not used again.
class EtcdStore
{
public:
  /// Takes the base URL, such as http://127.0.0.1:2379.
  explicit EtcdStore(const std::string& aUrl);

  /// Runs one request within the timeout; never throws for a store that is down.
  StoreReply Execute(const StoreRequest& aRequest, std::chrono::milliseconds aTimeout);

private:
  std::mutex mMutex;
  httpclient::Client mClient;
};

static_assert(KeyValueStore<EtcdStore>);

}

#endif
