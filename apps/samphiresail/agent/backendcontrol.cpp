#include "apps/samphiresail/agent/backendcontrol.hpp"

#include <chrono>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace samphiresail::agent {

namespace {

using Json = nlohmann::json;
using ledger::OrderOutcome;

constexpr std::chrono::milliseconds kQueryTimeout{ 800 };
/// Longest time that an engine takes to carry out an order.
constexpr std::chrono::minutes kOrderTimeout{ 2 };
constexpr int kOk = 200;
constexpr int kClientError = 400;
constexpr int kServiceUnavailable = 503;
constexpr char kFencingHeader[] = "X-Fencing-Number";

httplib::Client MakeClient(const std::string& aUrl, std::chrono::milliseconds aTimeout)
{
  httplib::Client client(aUrl);
  client.set_connection_timeout(kQueryTimeout);
  client.set_read_timeout(aTimeout);
  client.set_write_timeout(kQueryTimeout);
  client.set_tcp_nodelay(true);
  return client;
}

bool IsNotSent(httplib::Error aError)
{
  return aError == httplib::Error::Connection ||
         aError == httplib::Error::ConnectionTimeout;
}

BackendState ReadState(const httplib::Result& aResult)
{
  if (!aResult) {
    return aResult.error() == httplib::Error::Connection ? BackendState::Unreachable
                                                         : BackendState::Silent;
  }
  const Json answer = Json::parse(aResult->body, nullptr, false);
  const bool cold = answer.is_object() && answer.value("state", Json()) == "cold";
  return cold || aResult->status == kServiceUnavailable ? BackendState::Cold
                                                        : BackendState::Ready;
}

ResidentAnswer ReadResidents(const httplib::Result& aResult)
{
  ResidentAnswer answer;
  if (!aResult || aResult->status != kOk) {
    return answer;
  }
  const Json document = Json::parse(aResult->body, nullptr, false);
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

OrderOutcome ReadOutcome(const httplib::Result& aResult)
{
  if (!aResult) {
    return IsNotSent(aResult.error()) ? OrderOutcome::NotSent : OrderOutcome::Unknown;
  }
  if (aResult->status == kOk) {
    return OrderOutcome::Confirmed;
  }
  const bool refused =
    aResult->status >= kClientError && aResult->status < kServiceUnavailable;
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
    httplib::Client client = MakeClient(mUrl, kQueryTimeout);
    mSink(HealthAnswer{ ReadState(client.Get("/health")), askedAt });
  });
}

void BackendControl::QueryResidents()
{
  mQueries.Post([this] {
    const auto askedAt = mClock.Now();
    httplib::Client client = MakeClient(mUrl, kQueryTimeout);
    ResidentAnswer answer = ReadResidents(client.Get("/v1/models"));
    answer.mAskedAt = askedAt;
    mSink(std::move(answer));
  });
}

void BackendControl::Send(const ledger::Order& aOrder)
{
  mOrders.Post([this, order = aOrder] {
    httplib::Client client = MakeClient(mUrl, kOrderTimeout);
    const httplib::Headers headers{ { kFencingHeader,
                                      std::to_string(order.mFencing.Count()) } };
    const auto result =
      client.Post(OrderPath(order), headers, OrderBody(order).dump(), "application/json");
    mSink(OrderAnswer{ order.mFencing, ReadOutcome(result) });
  });
}

}
