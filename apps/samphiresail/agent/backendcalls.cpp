#include "apps/samphiresail/agent/backendcalls.hpp"

#include <chrono>
#include <utility>

#include "apps/samphiresail/agent/answerreader.hpp"

namespace samphiresail::agent {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{ 1000 };
constexpr std::chrono::seconds kWriteTimeout{ 10 };
/// Longest silence of the back end within an answer.
constexpr std::chrono::seconds kReadTimeout{ 120 };
constexpr int kOk = 200;

/// One call with the state that its callbacks share.
class Exchange
{
public:
  Exchange(const StartBackend& aCall, const BackendSink& aSink)
    : mCall(aCall)
    , mSink(aSink)
  {
  }

  /// Runs the call and returns its end, which is not yet reported.
  BackendDone Run(httpclient::Client& aClient, const std::stop_token& aStop)
  {
    httpclient::Request request;
    request.mMethod = mCall.mCall.mMethod;
    request.mTarget = mCall.mCall.mPath;
    request.mBody = mCall.mCall.mBody;
    request.mContentType = mCall.mCall.mContentType;
    httpclient::ResponseHandlers handlers;
    handlers.mOnHead = [this](const httpclient::Head& aHead) { Begin(aHead); };
    handlers.mOnPart = [this](std::string_view aPart) { Emit(mReader.Read(aPart)); };
    return End(aClient.Call(request, handlers, aStop));
  }

private:
  void Begin(const httpclient::Head& aHead)
  {
    mStatus = static_cast<int>(aHead.mStatus);
    mContentType = aHead.mContentType;
    mReader = AnswerReader(mContentType.starts_with("text/event-stream"));
  }

  void Emit(std::string aData)
  {
    if (!aData.empty()) {
      mSink(BackendChunk{ mCall.mAttempt, std::move(aData), mStatus, mContentType });
    }
  }

  BackendDone End(httpclient::Reply aReply)
  {
    BackendDone done{ .mAttempt = mCall.mAttempt, .mHttpStatus = mStatus };
    done.mContentType = mContentType;
    const bool answered = aReply.mOutcome == httpclient::Outcome::Answered;
    if (answered) {
      Emit(mReader.Finish());
    }
    if (answered && mReader.Complete()) {
      done.mOutcome = BackendOutcome::Answered;
    } else if (httpclient::IsNotSent(aReply.mOutcome)) {
      done.mOutcome = BackendOutcome::NotSent;
    } else if (aReply.mOutcome == httpclient::Outcome::Malformed) {
      done.mOutcome = BackendOutcome::Malformed;
      done.mFault = std::move(aReply.mFault);
    } else if (aReply.mOutcome == httpclient::Outcome::Truncated) {
      done.mOutcome = BackendOutcome::Truncated;
      done.mFault = std::move(aReply.mFault);
    }
    done.mPromptTokens = mReader.Usage().mPrompt;
    done.mOutputTokens = mReader.Usage().mOutput;
    return done;
  }

  const StartBackend& mCall;
  const BackendSink& mSink;
  AnswerReader mReader{ false };
  int mStatus{ kOk };
  std::string mContentType;
};

}

BackendCalls::BackendCalls(std::string aUrl, BackendSink aSink)
  : mUrl(std::move(aUrl))
  , mSink(std::move(aSink))
{
}

BackendCalls::~BackendCalls()
{
  {
    const std::lock_guard lock(mMutex);
    for (auto& [id, stop] : mRunning) {
      stop.request_stop();
    }
  }
  for (std::jthread& thread : mThreads) {
    thread.request_stop();
  }
  mThreads.clear();
}

void BackendCalls::Start(StartBackend aCall)
{
  const std::lock_guard lock(mMutex);
  mRunning[aCall.mAttempt];
  mWaiting.push_back(std::move(aCall));
  if (mIdle < mWaiting.size()) {
    mThreads.emplace_back([this](const std::stop_token& aStop) { Work(aStop); });
    ++mIdle;
  }
  mChanged.notify_one();
}

void BackendCalls::Cancel(const ids::AttemptId& aAttempt)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRunning.find(aAttempt);
  if (it != mRunning.end()) {
    it->second.request_stop();
  }
}

void BackendCalls::Work(const std::stop_token& aStop)
{
  std::unique_ptr<httpclient::Client> kept;
  while (true) {
    StartBackend call;
    {
      std::unique_lock lock(mMutex);
      if (!mChanged.wait(lock, aStop, [this] { return !mWaiting.empty(); })) {
        return;
      }
      call = std::move(mWaiting.front());
      mWaiting.pop_front();
      --mIdle;
    }
    Execute(call, kept);
    const std::lock_guard lock(mMutex);
    ++mIdle;
  }
}

void BackendCalls::Execute(const StartBackend& aCall,
                           std::unique_ptr<httpclient::Client>& aKept)
{
  // A connection kept alive may close under a call, and then nobody knows whether the
  // call ran. A call that must not be repeated gets a connection of its own.
  if (!aKept || aCall.mCall.mIrreversible) {
    aKept = MakeClient();
  }
  const std::stop_token stop = StopToken(aCall.mAttempt);
  BackendDone done{ .mAttempt = aCall.mAttempt, .mOutcome = BackendOutcome::NotSent };
  if (!stop.stop_requested()) {
    Exchange exchange(aCall, mSink);
    done = exchange.Run(*aKept, stop);
  }
  Forget(aCall.mAttempt);
  if (stop.stop_requested() && done.mOutcome != BackendOutcome::Answered) {
    done.mOutcome = BackendOutcome::Cancelled;
  }
  if (done.mOutcome != BackendOutcome::Answered) {
    aKept.reset();
  }
  mSink(std::move(done));
}

std::unique_ptr<httpclient::Client> BackendCalls::MakeClient() const
{
  constexpr httpclient::Timeouts kTimeouts{ kConnectTimeout,
                                            kWriteTimeout,
                                            kReadTimeout };
  return std::make_unique<httpclient::Client>(mUrl, kTimeouts);
}

std::stop_token BackendCalls::StopToken(const ids::AttemptId& aAttempt)
{
  const std::lock_guard lock(mMutex);
  return mRunning[aAttempt].get_token();
}

void BackendCalls::Forget(const ids::AttemptId& aAttempt)
{
  const std::lock_guard lock(mMutex);
  mRunning.erase(aAttempt);
}

}
