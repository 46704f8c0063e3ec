#ifndef SAMPHIRESAIL_APPS_TESTS_PROCESSES_LOAD_HPP
#define SAMPHIRESAIL_APPS_TESTS_PROCESSES_LOAD_HPP

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "apps/tests/processes/caller.hpp"

namespace samphiresail::tests {

struct LoadOptions
{
  std::size_t mCallers{ 6 };
  std::size_t mTokens{ 8 };
  bool mStream{ false };
};

struct LoadedRequest
{
  ChatRequest mRequest;
  ChatReply mReply;
};

/// Callers that send one request after the other until they are told to stop; every
/// request has a prompt of its own. Callers take the ports in turn.
class Load
{
public:
  Load(std::vector<std::uint16_t> aPorts, std::string aKey, LoadOptions aOptions);
  ~Load();

  std::size_t Finished() const { return mFinished; }
  /// Waits until so many more requests have finished.
  void AwaitMore(std::size_t aCount) const;
  /// Lets the callers finish and returns all requests with their replies.
  std::vector<LoadedRequest> Stop();

private:
  void Run(std::uint16_t aPort, std::size_t aCaller);

  std::string mKey;
  LoadOptions mOptions;
  std::atomic<bool> mStopping{ false };
  std::atomic<std::size_t> mFinished{ 0 };
  std::mutex mMutex;
  std::vector<LoadedRequest> mRequests;
  std::vector<std::jthread> mThreads;
};

/// Describes the requests that were not answered whole, one a line.
std::string DescribeFailures(const std::vector<LoadedRequest>& aRequests);

}

#endif
