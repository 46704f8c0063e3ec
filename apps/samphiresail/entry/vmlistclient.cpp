#include "apps/samphiresail/entry/vmlistclient.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "components/httpclient/client.hpp"

namespace samphiresail::entry {

using Json = nlohmann::json;

std::optional<std::vector<membership::ListedVm>> ParseVmList(std::string_view aBody)
{
  const Json document = Json::parse(aBody, nullptr, false);
  try {
    const Json& rows = document.at("vms");
    std::vector<membership::ListedVm> list(rows.size());
    std::ranges::transform(rows, list.begin(), [](const Json& aRow) {
      return membership::ListedVm{ .mName = ids::VmId(aRow.at("name")),
                                   .mLeaving = aRow.at("state") == "leaving" };
    });
    return list;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

VmListClient::VmListClient(std::string aUrl,
                           std::chrono::milliseconds aInterval,
                           std::chrono::milliseconds aTimeout,
                           Handler aHandler)
  : mUrl(std::move(aUrl))
  , mInterval(aInterval)
  , mTimeout(aTimeout)
  , mHandler(std::move(aHandler))
  , mThread([this](const std::stop_token& aStop) { Run(aStop); })
{
}

VmListClient::~VmListClient() = default;

void VmListClient::Run(const std::stop_token& aStop)
{
  std::mutex mutex;
  std::condition_variable_any wake;
  while (!aStop.stop_requested()) {
    if (!mUrl.empty()) {
      Fetch();
    }
    std::unique_lock lock(mutex);
    wake.wait_for(lock, aStop, mInterval, [] { return false; });
  }
}

void VmListClient::Fetch()
{
  httpclient::Client client(mUrl, { mTimeout, mTimeout, mTimeout, mTimeout });
  const httpclient::Reply reply = client.Call({ .mTarget = "/vms" });
  if (reply.mOutcome != httpclient::Outcome::Answered || reply.mHead.mStatus != 200) {
    return;
  }
  if (auto list = ParseVmList(reply.mBody)) {
    mHandler(*std::move(list));
  }
}

}
