#include "apps/samphiresail/gateway/gatewayprocess.hpp"

#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apps/samphiresail/gateway/recordkeys.hpp"

namespace samphiresail::gatewayapp {

void GatewayProcess::UpdateQuarantineRecords(timing::Instant aNow)
{
  for (const auto& change : mControl.mQuarantine.RecordChanges(mLeading, aNow)) {
    const std::string key = QuarantineKey(change.mCause);
    store::TransactionRequest write;
    if (change.mCreate) {
      write.mCompares.push_back({ key, 0 });
      write.mWrites.emplace_back(store::PutOperation{ key, mSettings.mName.Str(), 0 });
    } else {
      write.mWrites.emplace_back(store::DeleteOperation{ key });
    }
    boost::asio::co_spawn(
      mIo,
      [this, write = std::move(write)]() -> boost::asio::awaitable<void> {
        store::StoreRequest request = write;
        // The watch shows the outcome; a change that failed is due again.
        co_await mStore.Execute(std::move(request), kStoreTimeout);
      },
      boost::asio::detached);
  }
}

}
