#include "apps/samphiresail/entry/callerrequest.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "apps/samphiresail/entry/apierror.hpp"
#include "components/catalogue/configurationcodec.hpp"

namespace samphiresail::entry {

using Json = nlohmann::json;
using catalogue::RequestClass;

namespace {

constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kCompletionPath[] = "/v1/completions";

/// Bytes of text that are charged as one token before the engine has counted the prompt.
constexpr std::size_t kBytesPerToken = 3;
/// Tokens that a chat template adds to each message.
constexpr std::int64_t kTokensPerMessage = 8;

constexpr std::size_t kMaxIdempotencyKey = 255;
constexpr std::chrono::milliseconds kMaxDeadline{ std::chrono::minutes(30) };
constexpr std::chrono::milliseconds kBatchDeadline{ std::chrono::minutes(30) };
constexpr std::chrono::milliseconds kInteractiveDeadline{ std::chrono::seconds(60) };

[[noreturn]] void Fail(const std::string& aMessage)
{
  throw ApiError(ApiErrorType::InvalidParameter, aMessage);
}

std::int64_t TokensOfText(std::size_t aBytes)
{
  return static_cast<std::int64_t>((aBytes + kBytesPerToken - 1) / kBytesPerToken);
}

/// Counts the text of a message, whose content is a string or a list of parts.
std::size_t ContentBytes(const Json& aMessage)
{
  const auto it = aMessage.find("content");
  if (it == aMessage.end() || it->is_null()) {
    return 0;
  }
  return it->is_string() ? it->get_ref<const std::string&>().size() : it->dump().size();
}

std::int64_t CountChatPrompt(const Json& aBody)
{
  const auto it = aBody.find("messages");
  if (it == aBody.end() || !it->is_array() || it->empty()) {
    Fail("'messages' must be a list that is not empty");
  }
  std::int64_t tokens = 0;
  for (const Json& message : *it) {
    if (!message.is_object() || !message.value("role", Json()).is_string()) {
      Fail("each message must be an object with a 'role'");
    }
    tokens += TokensOfText(ContentBytes(message)) + kTokensPerMessage;
  }
  return tokens;
}

std::int64_t CountCompletionPrompt(const Json& aBody)
{
  const auto it = aBody.find("prompt");
  if (it == aBody.end() || !it->is_string()) {
    Fail("'prompt' must be a string");
  }
  return TokensOfText(it->get_ref<const std::string&>().size());
}

Json ParseBody(const std::string& aText)
{
  Json body = Json::parse(aText, nullptr, false);
  if (body.is_discarded()) {
    throw ApiError(ApiErrorType::InvalidJson, "the body is not JSON");
  }
  if (!body.is_object()) {
    throw ApiError(ApiErrorType::InvalidJson, "the body must be a JSON object");
  }
  return body;
}

std::int64_t ReadMaxOutput(const Json& aBody, units::Tokens aLimit)
{
  for (const char* name : { "max_completion_tokens", "max_tokens" }) {
    const auto it = aBody.find(name);
    if (it == aBody.end() || it->is_null()) {
      continue;
    }
    if (!it->is_number_integer() || it->get<std::int64_t>() < 1) {
      Fail(std::string("'") + name + "' must be a positive integer");
    }
    if (it->get<std::int64_t>() > aLimit.Count()) {
      Fail(std::string("'") + name + "' is above the model's limit of " +
           std::to_string(aLimit.Count()));
    }
    return it->get<std::int64_t>();
  }
  return aLimit.Count();
}

/// Several answers to one prompt would produce a multiple of the tokens charged.
void CheckAnswerCount(const Json& aBody)
{
  for (const char* name : { "n", "best_of" }) {
    const auto it = aBody.find(name);
    if (it != aBody.end() && !it->is_null() && *it != 1) {
      Fail(std::string("'") + name + "' must be 1");
    }
  }
}

bool ReadStream(const Json& aBody)
{
  const auto it = aBody.find("stream");
  if (it == aBody.end() || it->is_null()) {
    return false;
  }
  if (!it->is_boolean()) {
    Fail("'stream' must be a boolean");
  }
  return it->get<bool>();
}

void FillModelRequest(const RawRequest& aRaw,
                      const RoutingSnapshot& aSnapshot,
                      CallerRequest& aRequest)
{
  const Json body = ParseBody(aRaw.mBody);
  const auto name = body.find("model");
  if (name == body.end() || !name->is_string()) {
    Fail("'model' must be a string");
  }
  aRequest.mModel = ids::ModelId(name->get<std::string>());
  const catalogue::Model* model = aSnapshot.FindModel(aRequest.mModel);
  if (model == nullptr) {
    throw ApiError(ApiErrorType::UnknownModel,
                   "no model '" + aRequest.mModel.Str() + "' in the catalogue");
  }
  CheckAnswerCount(body);
  const std::int64_t prompt =
    aRaw.mPath == kChatPath ? CountChatPrompt(body) : CountCompletionPrompt(body);
  if (prompt > model->mMaxPrompt.Count()) {
    Fail("the prompt is above the model's limit of " +
         std::to_string(model->mMaxPrompt.Count()) + " tokens");
  }
  aRequest.mKind = RequestKind::Model;
  aRequest.mPool = model->mPool;
  aRequest.mClass = model->mClass;
  aRequest.mStream = ReadStream(body);
  aRequest.mPromptTokens = units::Tokens(prompt);
  aRequest.mMaxOutput = units::Tokens(ReadMaxOutput(body, model->mMaxOutput));
}

/// A call path in the catalogue may end in "/*" to match everything below it.
bool MatchesCall(const catalogue::ServiceCall& aCall,
                 const std::string& aMethod,
                 const std::string& aPath)
{
  if (aCall.mMethod != aMethod) {
    return false;
  }
  if (aCall.mPath.ends_with("/*")) {
    return aPath.starts_with(aCall.mPath.substr(0, aCall.mPath.size() - 1));
  }
  return aCall.mPath == aPath;
}

void FillServiceRequest(const RawRequest& aRaw,
                        const catalogue::Service& aService,
                        CallerRequest& aRequest)
{
  std::string path = aRaw.mPath.substr(aService.mRoute.size());
  if (!path.starts_with('/')) {
    path.insert(0, "/");
  }
  const auto call = std::ranges::find_if(aService.mCalls, [&](const auto& aCall) {
    return MatchesCall(aCall, aRaw.mMethod, path);
  });
  if (call == aService.mCalls.end()) {
    throw ApiError(ApiErrorType::UnknownRoute,
                   "service '" + aService.mName.Str() + "' has no call " + aRaw.mMethod +
                     " " + path);
  }
  aRequest.mKind = RequestKind::Service;
  aRequest.mService = aService.mName;
  aRequest.mPool = aService.mPool;
  aRequest.mOpen = aService.mOpen;
  aRequest.mClass = call->mRepeatable ? call->mClass : RequestClass::Irreversible;
  aRequest.mRepeatable = call->mRepeatable;
  aRequest.mPromptTokens = aService.mOpen ? units::Tokens(0) : call->mCost;
  aRequest.mTarget = path + aRaw.mTarget.substr(aRaw.mPath.size());
  aRequest.mDeadline = aService.mTimeout;
}

void ApplyClass(const RawRequest& aRaw, CallerRequest& aRequest)
{
  if (aRaw.mClass.empty() || !aRequest.mRepeatable) {
    return;
  }
  if (aRaw.mClass != catalogue::ClassName(RequestClass::Batch) &&
      aRaw.mClass != catalogue::ClassName(aRequest.mClass)) {
    Fail("a caller may only ask for the class 'batch' in place of the default");
  }
  aRequest.mClass = catalogue::ParseClass(aRaw.mClass);
}

void ApplyDeadline(const RawRequest& aRaw, CallerRequest& aRequest)
{
  if (aRequest.mDeadline.count() == 0) {
    aRequest.mDeadline =
      aRequest.mClass == RequestClass::Batch ? kBatchDeadline : kInteractiveDeadline;
  }
  if (aRaw.mDeadline.empty()) {
    return;
  }
  std::int64_t value = 0;
  const char* end = aRaw.mDeadline.data() + aRaw.mDeadline.size();
  const auto [parsed, ec] = std::from_chars(aRaw.mDeadline.data(), end, value);
  if (ec != std::errc() || parsed != end || value < 1 || value > kMaxDeadline.count()) {
    Fail("'X-Deadline-Ms' must be from 1 to " + std::to_string(kMaxDeadline.count()));
  }
  aRequest.mDeadline = std::chrono::milliseconds(value);
}

}

CallerRequest ParseCallerRequest(const RawRequest& aRaw,
                                 const RoutingSnapshot& aSnapshot,
                                 CallerRequest aAuthenticated)
{
  CallerRequest request = std::move(aAuthenticated);
  request.mMethod = aRaw.mMethod;
  request.mTarget = aRaw.mTarget;
  request.mContentType = aRaw.mContentType;
  request.mBody = aRaw.mBody;
  request.mIdempotencyKey = aRaw.mIdempotencyKey;
  if (aRaw.mIdempotencyKey.size() > kMaxIdempotencyKey) {
    Fail("'Idempotency-Key' is longer than " + std::to_string(kMaxIdempotencyKey));
  }
  if (aRaw.mMethod == "POST" &&
      (aRaw.mPath == kChatPath || aRaw.mPath == kCompletionPath)) {
    FillModelRequest(aRaw, aSnapshot, request);
  } else if (const auto* service = aSnapshot.FindService(aRaw.mPath)) {
    FillServiceRequest(aRaw, *service, request);
  } else {
    throw ApiError(ApiErrorType::UnknownRoute,
                   "no route " + aRaw.mMethod + " " + aRaw.mPath);
  }
  ApplyClass(aRaw, request);
  ApplyDeadline(aRaw, request);
  return request;
}

}
