#include "apps/samphiresail/gateway/gatewayprocess.hpp"

#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "apps/samphiresail/gateway/recordkeys.hpp"

namespace samphiresail::gatewayapp {

void GatewayProcess::UpdateQuarantineRecords(timing::Instant aNow)
{
  const auto execute = [this](store::TransactionRequest aWrite) {
    boost::asio::co_spawn(
      mIo,
      [this, write = std::move(aWrite)]() -> boost::asio::awaitable<void> {
        store::StoreRequest request = write;
        // The watch shows the outcome; a change that failed is due again.
        co_await mStore.Execute(std::move(request), kStoreTimeout);
      },
      boost::asio::detached);
  };
  const auto recordOf = [this](const std::vector<std::uint64_t>& aCauses) {
    return FormatQuarantineRecord({ mSettings.mName.Str(), aCauses });
  };
  for (const auto& change : mControl.mQuarantine.RecordChanges(mLeading, aNow)) {
    const std::string key = QuarantineKey(change.mVerdict);
    store::TransactionRequest write;
    if (change.mCreate) {
      write.mCompares.push_back({ key, 0 });
      write.mWrites.emplace_back(store::PutOperation{ key, recordOf(change.mCauses), 0 });
    } else {
      write.mWrites.emplace_back(store::DeleteOperation{ key });
    }
    execute(std::move(write));
  }
  std::vector<ids::ProcessId> present = mPeers.Known();
  present.push_back(mSettings.mName);
  for (const auto& orphan : mQuarantineWriters.TakeOrphans(present, aNow)) {
    const auto causes = mControl.mQuarantine.CausesOfVerdict(orphan.mCause);
    // A record without its causes would protect nobody.
    if (mLeading && !causes.empty()) {
      mLogger.Info("quarantine record taken over",
                   { { "cause", gateway::PartName(orphan.mCause) } });
      const std::string key = QuarantineKey(orphan.mCause);
      store::TransactionRequest write;
      write.mCompares.push_back({ key, orphan.mRevision });
      write.mWrites.emplace_back(store::PutOperation{ key, recordOf(causes), 0 });
      execute(std::move(write));
    }
  }
}

}
