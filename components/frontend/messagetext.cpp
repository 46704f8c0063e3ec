#include "components/frontend/messagetext.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace samphiresail::frontend {

namespace {

constexpr std::array<std::string_view, 9> kHopHeaders{ "Connection",
                                                       "Keep-Alive",
                                                       "Proxy-Connection",
                                                       "Proxy-Authenticate",
                                                       "Proxy-Authorization",
                                                       "TE",
                                                       "Trailer",
                                                       "Transfer-Encoding",
                                                       "Upgrade" };

std::string StatusLine(unsigned aStatus, std::string_view aReason)
{
  std::string line = "HTTP/1.1 " + std::to_string(aStatus) + " ";
  return line.append(aReason).append("\r\n");
}

}

bool Same(std::string_view aLeft, std::string_view aRight)
{
  return beast::iequals({ aLeft.data(), aLeft.size() }, { aRight.data(), aRight.size() });
}

bool HopHeader(std::string_view aName)
{
  return std::ranges::any_of(
    kHopHeaders, [aName](std::string_view aHop) { return Same(aHop, aName); });
}

std::string_view View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

void AppendLine(std::string& aHead, std::string_view aName, std::string_view aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

std::string AnswerHead(const http::response_header<>& aHeader)
{
  std::string head = StatusLine(aHeader.result_int(), View(aHeader.reason()));
  AppendEndToEnd(aHeader, head, [](std::string_view, bool aNamed) { return aNamed; });
  return head;
}

std::string Chunk(std::string_view aBytes)
{
  std::array<char, 20> size{};
  const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string chunk(size.data(), static_cast<std::size_t>(n));
  return chunk.append(aBytes).append("\r\n");
}

gateway::Refusal OwnAnswer(unsigned aStatus, std::string aReason)
{
  gateway::Refusal answer;
  answer.mStatus = aStatus;
  answer.mReason = std::move(aReason);
  return answer;
}

std::string BuildOwnAnswer(const Dialect& aDialect,
                           const gateway::RequestMetadata& aFacts,
                           const gateway::Refusal& aRefusal,
                           bool aKeepAlive)
{
  const std::string body = "{\"error\":\"" + aRefusal.mReason + "\"}";
  std::string head = StatusLine(
    aRefusal.mStatus, View(http::obsolete_reason(http::int_to_status(aRefusal.mStatus))));
  aDialect.WriteOwnAnswer(aFacts, head);
  if (aRefusal.mRetryAfter) {
    std::array<char, 24> seconds{};
    std::snprintf(seconds.data(),
                  seconds.size(),
                  "%.3f",
                  std::chrono::duration<double>(*aRefusal.mRetryAfter).count());
    AppendLine(head, "Retry-After", seconds.data());
  }
  AppendLine(head, "Content-Type", "application/json");
  AppendLine(head, "Content-Length", std::to_string(body.size()));
  if (!aKeepAlive) {
    AppendLine(head, "Connection", "close");
  }
  return head + "\r\n" + body;
}

}
