#include "apps/samphiresail/agent/backendcontrol.hpp"

#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include "components/httpclient/client.hpp"

namespace samphiresail::agent {

namespace {

using Json = nlohmann::json;
using ledger::OrderOutcome;

constexpr std::chrono::milliseconds kQueryTimeout{ 800 };
/// Longest time that an engine takes to carry out an order.
constexpr std::chrono::minutes kOrderTimeout{ 2 };
constexpr unsigned kOk = 200;
constexpr unsigned kClientError = 400;
constexpr unsigned kServiceUnavailable = 503;
constexpr char kFencingHeader[] = "X-Fencing-Number";

httpclient::Reply Ask(const std::string& aUrl, const char* aTarget)
{
  constexpr httpclient::Timeouts kTimeouts{
    kQueryTimeout, kQueryTimeout, kQueryTimeout, kQueryTimeout
  };
  return httpclient::Client(aUrl, kTimeouts).Call({ .mTarget = aTarget });
}

BackendState ReadState(const httpclient::Reply& aReply)
{
  if (aReply.mOutcome != httpclient::Outcome::Answered) {
    return aReply.mOutcome == httpclient::Outcome::Unreachable ? BackendState::Unreachable
                                                               : BackendState::Silent;
  }
  const Json answer = Json::parse(aReply.mBody, nullptr, false);
  const bool cold = answer.is_object() && answer.value("state", Json()) == "cold";
  return cold || aReply.mHead.mStatus == kServiceUnavailable ? BackendState::Cold
                                                             : BackendState::Ready;
}

ResidentAnswer ReadResidents(const httpclient::Reply& aReply)
{
  ResidentAnswer answer;
  if (aReply.mOutcome != httpclient::Outcome::Answered || aReply.mHead.mStatus != kOk) {
    return answer;
  }
  const Json document = Json::parse(aReply.mBody, nullptr, false);
  if (!document.is_object() || !document.contains("data") ||
      !document["data"].is_array()) {
    return answer;
  }
  answer.mAnswered = true;
  for (const Json& item : document["data"]) {
    if (item.is_object() && item.contains("id") && item["id"].is_string()) {
      answer.mModels.emplace_back(item["id"].get<std::string>());
    }
  }
  return answer;
}

std::string OrderPath(const ledger::Order& aOrder)
{
  const std::string verb =
    aOrder.mAction == ledger::OrderAction::Load ? "load" : "unload";
  return "/v1/" + verb + (aOrder.mBase.Empty() ? "_model" : "_lora_adapter");
}

Json OrderBody(const ledger::Order& aOrder)
{
  if (aOrder.mBase.Empty()) {
    return { { "model", aOrder.mModel.Str() },
             { "memory_bytes", aOrder.mMemory.Count() } };
  }
  return { { "lora_name", aOrder.mModel.Str() },
           { "lora_path", aOrder.mModel.Str() },
           { "base_model", aOrder.mBase.Str() },
           { "memory_bytes", aOrder.mMemory.Count() } };
}

OrderOutcome ReadOutcome(const httpclient::Reply& aReply)
{
  if (aReply.mOutcome != httpclient::Outcome::Answered) {
    return httpclient::IsNotSent(aReply.mOutcome) ? OrderOutcome::NotSent
                                                  : OrderOutcome::Unknown;
  }
  const unsigned status = aReply.mHead.mStatus;
  if (status == kOk) {
    return OrderOutcome::Confirmed;
  }
  const bool refused = status >= kClientError && status < kServiceUnavailable;
  return refused ? OrderOutcome::Refused : OrderOutcome::Unknown;
}

}

BackendControl::BackendControl(std::string aUrl,
                               const timing::Clock& aClock,
                               BackendSink aSink)
  : mUrl(std::move(aUrl))
  , mClock(aClock)
  , mSink(std::move(aSink))
{
}

void BackendControl::QueryHealth()
{
  mQueries.Post([this] {
    const auto askedAt = mClock.Now();
    mSink(HealthAnswer{ ReadState(Ask(mUrl, "/health")), askedAt });
  });
}

void BackendControl::QueryResidents()
{
  mQueries.Post([this] {
    const auto askedAt = mClock.Now();
    ResidentAnswer answer = ReadResidents(Ask(mUrl, "/v1/models"));
    answer.mAskedAt = askedAt;
    mSink(std::move(answer));
  });
}

void BackendControl::Send(const ledger::Order& aOrder)
{
  mOrders.Post([this, order = aOrder] {
    constexpr httpclient::Timeouts kTimeouts{
      kQueryTimeout, kQueryTimeout, kOrderTimeout, kOrderTimeout
    };
    httpclient::Request request{ .mMethod = "POST",
                                 .mTarget = OrderPath(order),
                                 .mBody = OrderBody(order).dump(),
                                 .mContentType = "application/json" };
    request.mFields = { { kFencingHeader, std::to_string(order.mFencing.Count()) } };
    const auto reply = httpclient::Client(mUrl, kTimeouts).Call(request);
    mSink(OrderAnswer{ order.mFencing, ReadOutcome(reply) });
  });
}

}
