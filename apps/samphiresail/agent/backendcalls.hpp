#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_BACKENDCALLS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_BACKENDCALLS_HPP

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "apps/samphiresail/agent/agentactions.hpp"

namespace httplib {
class Client;
}

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
  struct RunningCall
  {
    httplib::Client* mClient{ nullptr };
    bool mCancelled{ false };
  };

  void Work(const std::stop_token& aStop);
  void Execute(const StartBackend& aCall, std::unique_ptr<httplib::Client>& aKept);
  std::unique_ptr<httplib::Client> MakeClient() const;
  /// Returns false if the call was cancelled before it began.
  bool Register(const ids::AttemptId& aAttempt, httplib::Client& aClient);
  /// Returns true if the call was cancelled.
  bool Unregister(const ids::AttemptId& aAttempt);
  bool IsCancelled(const ids::AttemptId& aAttempt);

  std::string mUrl;
  BackendSink mSink;
  std::mutex mMutex;
  std::condition_variable_any mChanged;
  std::deque<StartBackend> mWaiting;
  std::unordered_map<ids::AttemptId, RunningCall> mRunning;
  std::size_t mIdle{ 0 };
  std::vector<std::jthread> mThreads;
};

}

#endif
