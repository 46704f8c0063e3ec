#include "apps/samphiresail/agent/backendcalls.hpp"

#include <chrono>
#include <utility>

#include <httplib.h>

#include "apps/samphiresail/agent/answerreader.hpp"

namespace samphiresail::agent {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{ 1000 };
constexpr std::chrono::seconds kWriteTimeout{ 10 };
/// Longest silence of the back end within an answer.
constexpr std::chrono::seconds kReadTimeout{ 120 };
constexpr int kOk = 200;

bool IsNotSent(httplib::Error aError)
{
  return aError == httplib::Error::Connection ||
         aError == httplib::Error::ConnectionTimeout;
}

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
  BackendDone Run(httplib::Client& aClient, const std::function<bool()>& aIsCancelled)
  {
    httplib::Request request;
    request.method = mCall.mCall.mMethod;
    request.path = mCall.mCall.mPath;
    request.body = mCall.mCall.mBody;
    if (!mCall.mCall.mContentType.empty()) {
      request.set_header("Content-Type", mCall.mCall.mContentType);
    }
    request.response_handler = [this](const httplib::Response& aResponse) {
      Begin(aResponse);
      return true;
    };
    request.content_receiver =
      [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
        Emit(mReader.Read({ aData, aSize }));
        return !aIsCancelled();
      };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    const bool answered = aClient.send(request, response, error);
    return End(answered, error);
  }

private:
  void Begin(const httplib::Response& aResponse)
  {
    mStatus = aResponse.status;
    mContentType = aResponse.get_header_value("Content-Type");
    mReader = AnswerReader(mContentType.starts_with("text/event-stream"));
  }

  void Emit(std::string aData)
  {
    if (!aData.empty()) {
      mSink(BackendChunk{ mCall.mAttempt, std::move(aData), mStatus, mContentType });
    }
  }

  BackendDone End(bool aAnswered, httplib::Error aError)
  {
    BackendDone done{ .mAttempt = mCall.mAttempt, .mHttpStatus = mStatus };
    done.mContentType = mContentType;
    if (aAnswered) {
      Emit(mReader.Finish());
    }
    if (aAnswered && mReader.Complete()) {
      done.mOutcome = BackendOutcome::Answered;
    } else if (!aAnswered && IsNotSent(aError)) {
      done.mOutcome = BackendOutcome::NotSent;
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
    for (auto& [id, call] : mRunning) {
      call.mCancelled = true;
      if (call.mClient != nullptr) {
        call.mClient->stop();
      }
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
  if (it == mRunning.end()) {
    return;
  }
  it->second.mCancelled = true;
  if (it->second.mClient != nullptr) {
    it->second.mClient->stop();
  }
}

void BackendCalls::Work(const std::stop_token& aStop)
{
  std::unique_ptr<httplib::Client> kept;
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
                           std::unique_ptr<httplib::Client>& aKept)
{
  // A connection kept alive may close under a call, and then nobody knows whether the
  // call ran. A call that must not be repeated gets a connection of its own.
  if (!aKept || aCall.mCall.mIrreversible) {
    aKept = MakeClient();
  }
  BackendDone done{ .mAttempt = aCall.mAttempt, .mOutcome = BackendOutcome::NotSent };
  if (Register(aCall.mAttempt, *aKept)) {
    Exchange exchange(aCall, mSink);
    done = exchange.Run(*aKept, [&] { return IsCancelled(aCall.mAttempt); });
  }
  if (Unregister(aCall.mAttempt) && done.mOutcome != BackendOutcome::Answered) {
    done.mOutcome = BackendOutcome::Cancelled;
  }
  if (done.mOutcome != BackendOutcome::Answered) {
    aKept.reset();
  }
  mSink(std::move(done));
}

std::unique_ptr<httplib::Client> BackendCalls::MakeClient() const
{
  auto client = std::make_unique<httplib::Client>(mUrl);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_url_encode(false);
  client->set_connection_timeout(kConnectTimeout);
  client->set_read_timeout(kReadTimeout);
  client->set_write_timeout(kWriteTimeout);
  return client;
}

bool BackendCalls::Register(const ids::AttemptId& aAttempt, httplib::Client& aClient)
{
  const std::lock_guard lock(mMutex);
  RunningCall& call = mRunning[aAttempt];
  call.mClient = &aClient;
  return !call.mCancelled;
}

bool BackendCalls::Unregister(const ids::AttemptId& aAttempt)
{
  const std::lock_guard lock(mMutex);
  const auto node = mRunning.extract(aAttempt);
  return !node.empty() && node.mapped().mCancelled;
}

bool BackendCalls::IsCancelled(const ids::AttemptId& aAttempt)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRunning.find(aAttempt);
  return it != mRunning.end() && it->second.mCancelled;
}

}
