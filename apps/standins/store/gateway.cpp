#include "apps/standins/store/gateway.hpp"

#include <thread>

#include "apps/standins/common/httpprogram.hpp"
#include "apps/standins/store/gatewaycodec.hpp"

namespace samphiresail::standins {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kWatchStep{ 200 };

json ErrorBody(const std::string& aText, int aCode)
{
  return { { "error", aText }, { "message", aText }, { "code", aCode } };
}

Transaction Single(Operation aOperation)
{
  Transaction transaction;
  transaction.mSuccess.push_back(std::move(aOperation));
  return transaction;
}

json WriteSingle(const TransactionResult& aResult)
{
  auto body = WriteResult(aResult.mResults.front());
  body["header"] = WriteHeader(aResult.mRevision);
  return body;
}

}

void Gateway::Register(httplib::Server& aServer)
{
  Add(aServer, "/v3/kv/range", &Gateway::Range, CallKind::Read);
  Add(aServer, "/v3/kv/put", &Gateway::Put, CallKind::Write);
  Add(aServer, "/v3/kv/deleterange", &Gateway::DeleteRange, CallKind::Write);
  Add(aServer, "/v3/kv/txn", &Gateway::Txn, CallKind::Write);
  Add(aServer, "/v3/lease/grant", &Gateway::LeaseGrant, CallKind::Write);
  Add(aServer, "/v3/lease/keepalive", &Gateway::LeaseKeepAlive, CallKind::Write);
  Add(aServer, "/v3/lease/revoke", &Gateway::LeaseRevoke, CallKind::Write);
  Add(aServer, "/v3/kv/lease/revoke", &Gateway::LeaseRevoke, CallKind::Write);
  PostJson(aServer,
           "/v3/watch",
           [this](const httplib::Request& aRequest,
                  const json& aBody,
                  httplib::Response& aResponse) {
             if (CurrentFaults().mDown) {
               DropConnection(aRequest);
               return;
             }
             Admit("/v3/watch", CallKind::Read);
             Watch(aBody, aResponse);
           });
  PostJson(
    aServer,
    "/faults",
    [this](const httplib::Request&, const json& aBody, httplib::Response& aResponse) {
      SetFaults(aBody);
      Answer(aResponse, json::object());
    });
  aServer.Get("/counts", [this](const httplib::Request&, httplib::Response& aResponse) {
    Answer(aResponse, Counts());
  });
}

void Gateway::Add(httplib::Server& aServer, const char* aPath, Call aCall, CallKind aKind)
{
  PostJson(aServer,
           aPath,
           [this, aCall, aKind](const httplib::Request& aRequest,
                                const json& aBody,
                                httplib::Response& aResponse) {
             Serve(aRequest, aBody, aResponse, aCall, aKind);
           });
}

void Gateway::Serve(const httplib::Request& aRequest,
                    const json& aBody,
                    httplib::Response& aResponse,
                    Call aCall,
                    CallKind aKind)
{
  const auto faults = CurrentFaults();
  if (faults.mDown) {
    DropConnection(aRequest);
    return;
  }
  if (!Admit(aRequest.path, aKind)) {
    Answer(aResponse, ErrorBody("etcdserver: too many requests", 8), 429);
    return;
  }
  std::this_thread::sleep_for(faults.mDelay);
  try {
    const auto body = (this->*aCall)(aBody);
    if (LosesAnswer(aKind)) {
      DropConnection(aRequest);
    }
    Answer(aResponse, body);
  } catch (const StoreError& ec) {
    Answer(aResponse, ErrorBody(ec.what(), ec.mCode), ec.mStatus);
  } catch (const std::logic_error& ec) {
    Answer(aResponse, ErrorBody(ec.what(), 3), 400);
  }
}

void Gateway::SetFaults(const json& aBody)
{
  const std::lock_guard lock(mMutex);
  mFaults.mDown = aBody.value("down", mFaults.mDown);
  mFaults.mDelay =
    std::chrono::milliseconds(aBody.value("delay_ms", mFaults.mDelay.count()));
  mFaults.mLoseAnswers = aBody.value("lose_answers", mFaults.mLoseAnswers);
  mFaults.mWritesOnly = aBody.value("writes_only", mFaults.mWritesOnly);
  if (aBody.contains("reads_per_second")) {
    mReads.SetRate(aBody["reads_per_second"].get<double>());
  }
  if (aBody.contains("writes_per_second")) {
    mWrites.SetRate(aBody["writes_per_second"].get<double>());
  }
}

Gateway::Faults Gateway::CurrentFaults()
{
  const std::lock_guard lock(mMutex);
  return mFaults;
}

bool Gateway::Admit(const std::string& aPath, CallKind aKind)
{
  const std::lock_guard lock(mMutex);
  ++mCalls[aPath];
  auto& calls = aKind == CallKind::Read ? mReadCalls : mWriteCalls;
  ++calls;
  auto& limit = aKind == CallKind::Read ? mReads : mWrites;
  const bool allowed = limit.Allow(mClock.Now());
  mRefused += static_cast<std::int64_t>(!allowed);
  return allowed;
}

bool Gateway::LosesAnswer(CallKind aKind)
{
  const std::lock_guard lock(mMutex);
  const bool spared = mFaults.mWritesOnly && aKind == CallKind::Read;
  if (mFaults.mLoseAnswers <= 0 || spared) {
    return false;
  }
  --mFaults.mLoseAnswers;
  return true;
}

json Gateway::Counts()
{
  const std::lock_guard lock(mMutex);
  return { { "reads", mReadCalls }, { "writes", mWriteCalls },
           { "refused", mRefused }, { "watching", mWatching },
           { "calls", mCalls },     { "revision", mData.Revision() } };
}

json Gateway::Range(const json& aBody)
{
  return WriteSingle(mData.Execute(
    Single({ .mKind = OperationKind::Range, .mRange = ReadRangeQuery(aBody) })));
}

json Gateway::Put(const json& aBody)
{
  return WriteSingle(mData.Execute(Single(ReadPut(aBody))));
}

json Gateway::DeleteRange(const json& aBody)
{
  return WriteSingle(mData.Execute(Single(
    { .mKind = OperationKind::Delete, .mRange = { .mKeys = ReadKeyRange(aBody) } })));
}

json Gateway::Txn(const json& aBody)
{
  const auto result = mData.Execute(ReadTransaction(aBody));
  json body{ { "header", WriteHeader(result.mRevision) } };
  if (result.mSucceeded) {
    body["succeeded"] = true;
  }
  for (const auto& operation : result.mResults) {
    body["responses"].push_back(WriteTransactionResult(operation, result.mRevision));
  }
  return body;
}

json Gateway::LeaseGrant(const json& aBody)
{
  const auto ttl = NumberField(aBody, "TTL");
  const auto id = mData.GrantLease(NumberField(aBody, "ID"), std::chrono::seconds(ttl));
  return { { "header", WriteHeader(mData.Revision()) },
           { "ID", std::to_string(id) },
           { "TTL", std::to_string(ttl) } };
}

json Gateway::LeaseKeepAlive(const json& aBody)
{
  const auto id = NumberField(aBody, "ID");
  const auto ttl = mData.KeepAlive(id);
  json result{ { "header", WriteHeader(mData.Revision()) },
               { "ID", std::to_string(id) } };
  if (ttl.count() > 0) {
    result["TTL"] = std::to_string(ttl.count());
  }
  return { { "result", result } };
}

json Gateway::LeaseRevoke(const json& aBody)
{
  mData.RevokeLease(NumberField(aBody, "ID"));
  return { { "header", WriteHeader(mData.Revision()) } };
}

void Gateway::Watch(const json& aBody, httplib::Response& aResponse)
{
  const auto create = aBody.value("create_request", json::object());
  const auto keys = ReadKeyRange(create);
  auto next = NumberField(create, "start_revision");
  if (next == 0) {
    next = mData.Revision() + 1;
  }
  const auto write = [](httplib::DataSink& aSink, const json& aResult) {
    const auto line = json{ { "result", aResult } }.dump() + "\n";
    return aSink.write(line.data(), line.size());
  };
  aResponse.set_chunked_content_provider(
    "application/json",
    [this, keys, next, write](std::size_t, httplib::DataSink& aSink) mutable {
      {
        const std::lock_guard lock(mMutex);
        ++mWatching;
      }
      bool open = write(
        aSink, { { "header", WriteHeader(mData.Revision()) }, { "created", true } });
      while (open && !CurrentFaults().mDown) {
        const auto events = mData.WaitEvents(keys, next, kWatchStep);
        json result{ { "header", WriteHeader(mData.Revision()) } };
        for (const auto& event : events) {
          next = std::max(next, event.mRecord.mModRevision + 1);
          result["events"].push_back(WriteEvent(event));
        }
        open = events.empty() ? aSink.is_writable() : write(aSink, result);
      }
      const std::lock_guard lock(mMutex);
      --mWatching;
      return false;
    });
}

}
