#ifndef SAMPHIRESAIL_COMPONENTS_STORE_ASYNCSTORE_HPP
#define SAMPHIRESAIL_COMPONENTS_STORE_ASYNCSTORE_HPP

#include <utility>

#include <boost/asio/awaitable.hpp>

#include "components/store/keyvaluestore.hpp"

namespace samphiresail::store {

/// Client of the platform's key-value service for a process with one event loop. Execute
/// never throws for a store that is down; it reports the outcome within the timeout.
class AsyncStore
{
public:
  virtual ~AsyncStore() = default;
  virtual boost::asio::awaitable<StoreReply> Execute(
    StoreRequest aRequest,
    std::chrono::milliseconds aTimeout) = 0;
};

}

#endif
