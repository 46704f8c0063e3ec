#ifndef SAMPHIRESAIL_APPS_TESTS_PROCESSES_CALLER_HPP
#define SAMPHIRESAIL_APPS_TESTS_PROCESSES_CALLER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

namespace httplib {
class Client;
}

namespace samphiresail::tests {

struct ChatRequest
{
  std::string mModel{ "depot-assistant" };
  std::string mPrompt;
  std::size_t mTokens{ 4 };
};

struct ChatReply
{
  /// HTTP status; 0 if the connection failed.
  int mStatus{ 0 };
  std::string mText;
  /// Output tokens of the usage report.
  std::size_t mTokens{ 0 };
  /// True if the answer came to its regular end.
  bool mEnded{ false };
  /// Name and outcome of an error, from the status or from an event of the stream.
  std::string mError;
  std::string mOutcome;
};

struct ServiceReply
{
  int mStatus{ 0 };
  std::string mBody;
  std::string mError;
  std::string mOutcome;
};

/// Text of the stand-in engine's answer to the request.
std::string ExpectedText(const ChatRequest& aRequest);

/// Digest under which the stand-in engine journals the request.
std::uint64_t PromptDigest(const ChatRequest& aRequest);

/// True if the reply is the whole answer to its own request.
bool IsWhole(const ChatReply& aReply, const ChatRequest& aRequest);

/// Caller with one connection that it keeps open.
class Caller
{
public:
  Caller(std::uint16_t aPort, std::string aKey);
  ~Caller();

  ChatReply Chat(const ChatRequest& aRequest);
  /// Streams the answer; the function gets the text so far after each event.
  ChatReply Stream(const ChatRequest& aRequest,
                   const std::function<void(const std::string&)>& aProgress = {});
  ServiceReply Post(const std::string& aPath,
                    const std::string& aIdempotencyKey,
                    const nlohmann::json& aBody);
  ServiceReply Get(const std::string& aPath);

private:
  std::unique_ptr<httplib::Client> mClient;
  std::string mKey;
};

}

#endif
