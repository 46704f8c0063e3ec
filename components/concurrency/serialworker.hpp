#ifndef SAMPHIRESAIL_COMPONENTS_CONCURRENCY_SERIALWORKER_HPP
#define SAMPHIRESAIL_COMPONENTS_CONCURRENCY_SERIALWORKER_HPP

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace samphiresail::concurrency {

/// Thread that runs tasks one at a time, in the order in which they were posted.
class SerialWorker
{
public:
  using Task = std::function<void()>;

  SerialWorker();
  /// Waits for the running task to finish and discards the queued ones.
  ~SerialWorker();
  SerialWorker(const SerialWorker&) = delete;
  SerialWorker& operator=(const SerialWorker&) = delete;

  void Post(Task aTask);

private:
  void Run(const std::stop_token& aStop);

  std::mutex mMutex;
  std::condition_variable_any mChanged;
  std::deque<Task> mTasks;
  std::jthread mThread;
};

}

#endif
