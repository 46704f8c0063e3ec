#include "apps/tests/processes/load.hpp"

#include <sstream>

namespace samphiresail::tests {

namespace {

constexpr std::chrono::milliseconds kPollStep{ 10 };
constexpr std::chrono::seconds kMoreLimit{ 30 };

}

Load::Load(std::vector<std::uint16_t> aPorts, std::string aKey, LoadOptions aOptions)
  : mKey(std::move(aKey))
  , mOptions(aOptions)
{
  for (std::size_t it = 0; it < mOptions.mCallers; ++it) {
    const auto port = aPorts[it % aPorts.size()];
    mThreads.emplace_back([this, port, it] { Run(port, it); });
  }
}

Load::~Load()
{
  mStopping = true;
}

void Load::Run(std::uint16_t aPort, std::size_t aCaller)
{
  for (std::size_t it = 0; !mStopping; ++it) {
    Caller caller(aPort, mKey);
    LoadedRequest loaded;
    loaded.mRequest.mPrompt =
      "caller " + std::to_string(aCaller) + " request " + std::to_string(it);
    loaded.mRequest.mTokens = mOptions.mTokens;
    loaded.mReply =
      mOptions.mStream ? caller.Stream(loaded.mRequest) : caller.Chat(loaded.mRequest);
    const std::lock_guard lock(mMutex);
    mRequests.push_back(std::move(loaded));
    ++mFinished;
  }
}

void Load::AwaitMore(std::size_t aCount) const
{
  const auto wanted = mFinished + aCount;
  const auto end = std::chrono::steady_clock::now() + kMoreLimit;
  while (mFinished < wanted && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollStep);
  }
}

std::vector<LoadedRequest> Load::Stop()
{
  mStopping = true;
  mThreads.clear();
  return std::move(mRequests);
}

std::string DescribeFailures(const std::vector<LoadedRequest>& aRequests)
{
  std::ostringstream text;
  for (const auto& [request, reply] : aRequests) {
    if (!IsWhole(reply, request)) {
      text << request.mPrompt << ": status " << reply.mStatus << ", error '"
           << reply.mError << "', outcome '" << reply.mOutcome << "', "
           << (reply.mEnded ? "ended" : "not ended") << ", " << reply.mText.size()
           << " bytes\n";
    }
  }
  return text.str();
}

}
