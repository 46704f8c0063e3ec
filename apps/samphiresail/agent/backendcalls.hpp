#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_BACKENDCALLS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_BACKENDCALLS_HPP

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <stop_token>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "apps/samphiresail/agent/agentactions.hpp"
#include "components/httpclient/client.hpp"

namespace samphiresail::agent {

using BackendSink = std::function<void(BackendEvent)>;

/// Runs calls to the back end, each on a thread of its own while it lasts. Threads are
/// kept for later calls; the caller bounds their number by the calls that it starts.
class BackendCalls
{
public:
  /// Takes the base URL and the receiver of events, which is called on any thread.
  BackendCalls(std::string aUrl, BackendSink aSink);
  ~BackendCalls();
  BackendCalls(const BackendCalls&) = delete;
  BackendCalls& operator=(const BackendCalls&) = delete;

  void Start(StartBackend aCall);

  /// Closes the connection of a running call; its end is reported as cancelled.
  void Cancel(const ids::AttemptId& aAttempt);

private:
  void Work(const std::stop_token& aStop);
  void Execute(const StartBackend& aCall, std::unique_ptr<httpclient::Client>& aKept);
  std::unique_ptr<httpclient::Client> MakeClient() const;
  /// Returns the token by which the call is cancelled.
  std::stop_token StopToken(const ids::AttemptId& aAttempt);
  void Forget(const ids::AttemptId& aAttempt);

  std::string mUrl;
  BackendSink mSink;
  std::mutex mMutex;
  std::condition_variable_any mChanged;
  std::deque<StartBackend> mWaiting;
  std::unordered_map<ids::AttemptId, std::stop_source> mRunning;
  std::size_t mIdle{ 0 };
  std::vector<std::jthread> mThreads;
};

}

#endif
