#include "components/concurrency/serialworker.hpp"

#include <utility>

namespace samphiresail::concurrency {

SerialWorker::SerialWorker()
  : mThread([this](const std::stop_token& aStop) { Run(aStop); })
{
}

SerialWorker::~SerialWorker()
{
  mThread.request_stop();
  mThread.join();
}

void SerialWorker::Post(Task aTask)
{
  {
    const std::lock_guard lock(mMutex);
    mTasks.push_back(std::move(aTask));
  }
  mChanged.notify_one();
}

void SerialWorker::Run(const std::stop_token& aStop)
{
  while (true) {
    Task task;
    {
      std::unique_lock lock(mMutex);
      if (!mChanged.wait(lock, aStop, [this] { return !mTasks.empty(); }) ||
          aStop.stop_requested()) {
        return;
      }
      task = std::move(mTasks.front());
      mTasks.pop_front();
    }
    task();
  }
}

}
