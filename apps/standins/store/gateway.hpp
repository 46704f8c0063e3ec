#ifndef SAMPHIRESAIL_APPS_STANDINS_STORE_GATEWAY_HPP
#define SAMPHIRESAIL_APPS_STANDINS_STORE_GATEWAY_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "apps/standins/common/ratelimit.hpp"
#include "apps/standins/store/keyvaluedata.hpp"

namespace samphiresail::standins {

/// JSON gateway of the etcd v3 protocol with faults that tests switch on.
class Gateway
{
public:
  Gateway(KeyValueData& aData, const timing::Clock& aClock)
    : mData(aData)
    , mClock(aClock)
  {
  }

  void Register(httplib::Server& aServer);

private:
  enum class CallKind
  {
    Read,
    Write,
  };
  struct Faults
  {
    /// Calls are cut before they take effect.
    bool mDown{ false };
    /// Calls wait before they take effect.
    std::chrono::milliseconds mDelay{ 0 };
    /// Calls that take effect and lose their answer.
    std::int64_t mLoseAnswers{ 0 };
    /// Loses the answers of writes only.
    bool mWritesOnly{ false };
  };
  using Call = nlohmann::json (Gateway::*)(const nlohmann::json&);

  void Add(httplib::Server& aServer, const char* aPath, Call aCall, CallKind aKind);
  void Serve(const httplib::Request& aRequest,
             const nlohmann::json& aBody,
             httplib::Response& aResponse,
             Call aCall,
             CallKind aKind);
  void SetFaults(const nlohmann::json& aBody);
  bool Admit(const std::string& aPath, CallKind aKind);
  bool LosesAnswer(CallKind aKind);
  Faults CurrentFaults();
  nlohmann::json Counts();

  nlohmann::json Range(const nlohmann::json& aBody);
  nlohmann::json Put(const nlohmann::json& aBody);
  nlohmann::json DeleteRange(const nlohmann::json& aBody);
  nlohmann::json Txn(const nlohmann::json& aBody);
  nlohmann::json LeaseGrant(const nlohmann::json& aBody);
  nlohmann::json LeaseKeepAlive(const nlohmann::json& aBody);
  nlohmann::json LeaseRevoke(const nlohmann::json& aBody);
  void Watch(const nlohmann::json& aBody, httplib::Response& aResponse);

  KeyValueData& mData;
  const timing::Clock& mClock;
  std::mutex mMutex;
  Faults mFaults;
  RateLimit mReads;
  RateLimit mWrites;
  std::map<std::string, std::int64_t> mCalls;
  std::int64_t mReadCalls{ 0 };
  std::int64_t mWriteCalls{ 0 };
  std::int64_t mRefused{ 0 };
  std::int64_t mWatching{ 0 };
};

}

#endif
