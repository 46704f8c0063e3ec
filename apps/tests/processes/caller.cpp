#include "apps/tests/processes/caller.hpp"

#include <httplib.h>

#include "apps/standins/common/answertext.hpp"

namespace samphiresail::tests {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kCallerTimeout{ 30 };
constexpr int kOk = 200;
constexpr char kJson[] = "application/json";

json Messages(const ChatRequest& aRequest)
{
  return json::array({ { { "role", "user" }, { "content", aRequest.mPrompt } } });
}

json Body(const ChatRequest& aRequest, bool aStream)
{
  json body{ { "model", aRequest.mModel },
             { "messages", Messages(aRequest) },
             { "max_tokens", aRequest.mTokens } };
  if (aStream) {
    body["stream"] = true;
    body["stream_options"] = { { "include_usage", true } };
  }
  return body;
}

template<typename Reply>
void ReadError(const json& aBody, Reply& aReply)
{
  if (aBody.is_object() && aBody.contains("error") && aBody["error"].is_object()) {
    aReply.mError = aBody["error"].value("type", "");
    aReply.mOutcome = aBody["error"].value("outcome", "");
  }
}

/// Collects the events of a stream.
class EventCollector
{
public:
  explicit EventCollector(ChatReply& aReply)
    : mReply(aReply)
  {
  }

  void Take(std::string_view aBytes)
  {
    mPending.append(aBytes);
    for (auto at = mPending.find("\n\n"); at != std::string::npos;
         at = mPending.find("\n\n")) {
      TakeEvent(mPending.substr(0, at));
      mPending.erase(0, at + 2);
    }
  }

private:
  void TakeEvent(const std::string& aEvent)
  {
    constexpr std::string_view kPrefix = "data: ";
    if (!aEvent.starts_with(kPrefix)) {
      return;
    }
    const auto data = aEvent.substr(kPrefix.size());
    if (data == "[DONE]") {
      mReply.mEnded = true;
      return;
    }
    const auto body = json::parse(data, nullptr, false);
    ReadError(body, mReply);
    if (body.contains("usage") && body["usage"].is_object()) {
      mReply.mTokens = body["usage"].value("completion_tokens", 0U);
    }
    for (const auto& choice : body.value("choices", json::array())) {
      mReply.mText += choice.value("delta", json::object()).value("content", "");
    }
  }

  ChatReply& mReply;
  std::string mPending;
};

ServiceReply ReadServiceReply(const httplib::Result& aResult)
{
  ServiceReply reply;
  if (aResult) {
    reply.mStatus = aResult->status;
    reply.mBody = aResult->body;
    ReadError(json::parse(aResult->body, nullptr, false), reply);
  }
  return reply;
}

}

std::uint64_t PromptDigest(const ChatRequest& aRequest)
{
  return standins::MessagesDigest(Messages(aRequest));
}

std::string ExpectedText(const ChatRequest& aRequest)
{
  return standins::AnswerText(PromptDigest(aRequest), aRequest.mTokens);
}

bool IsWhole(const ChatReply& aReply, const ChatRequest& aRequest)
{
  return aReply.mStatus == kOk && aReply.mEnded && aReply.mError.empty() &&
         aReply.mText == ExpectedText(aRequest);
}

Caller::Caller(std::uint16_t aPort, std::string aKey)
  : mClient(std::make_unique<httplib::Client>("127.0.0.1", aPort))
  , mKey(std::move(aKey))
{
  mClient->set_keep_alive(true);
  mClient->set_tcp_nodelay(true);
  mClient->set_connection_timeout(kCallerTimeout);
  mClient->set_read_timeout(kCallerTimeout);
  mClient->set_default_headers({ { "Authorization", "Bearer " + mKey } });
}

Caller::~Caller() = default;

ChatReply Caller::Chat(const ChatRequest& aRequest)
{
  ChatReply reply;
  const auto result =
    mClient->Post("/v1/chat/completions", Body(aRequest, false).dump(), kJson);
  if (!result) {
    return reply;
  }
  reply.mStatus = result->status;
  const auto body = json::parse(result->body, nullptr, false);
  ReadError(body, reply);
  if (reply.mStatus == kOk && body.contains("choices")) {
    const auto& choice = body["choices"].at(0);
    reply.mText = choice.at("message").value("content", "");
    reply.mTokens = body.at("usage").value("completion_tokens", 0U);
    reply.mEnded = choice.at("finish_reason").is_string();
  }
  return reply;
}

ChatReply Caller::Stream(const ChatRequest& aRequest,
                         const std::function<void(const std::string&)>& aProgress)
{
  ChatReply reply;
  EventCollector collector(reply);
  std::string raw;
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.body = Body(aRequest, true).dump();
  request.set_header("Content-Type", kJson);
  request.content_receiver =
    [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
      raw.append(aData, aSize);
      collector.Take({ aData, aSize });
      if (aProgress) {
        aProgress(reply.mText);
      }
      return true;
    };
  const auto result = mClient->send(request);
  if (!result) {
    reply.mEnded = false;
    return reply;
  }
  reply.mStatus = result->status;
  if (reply.mStatus != kOk) {
    ReadError(json::parse(raw, nullptr, false), reply);
  }
  return reply;
}

ServiceReply Caller::Post(const std::string& aPath,
                          const std::string& aIdempotencyKey,
                          const json& aBody)
{
  const httplib::Headers headers{ { "Idempotency-Key", aIdempotencyKey } };
  return ReadServiceReply(mClient->Post(aPath, headers, aBody.dump(), kJson));
}

ServiceReply Caller::Get(const std::string& aPath)
{
  return ReadServiceReply(mClient->Get(aPath));
}

}
