#include "components/frontend/httpmessage.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace samphiresail::frontend {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopHeaders{ "Connection",
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

bool EqualHeaderNames(std::string_view aLeft, std::string_view aRight)
{
  return beast::iequals({ aLeft.data(), aLeft.size() }, { aRight.data(), aRight.size() });
}

bool IsHopByHopHeader(std::string_view aName)
{
  return std::ranges::any_of(kHopByHopHeaders, [aName](std::string_view aHop) {
    return EqualHeaderNames(aHop, aName);
  });
}

std::string_view ToStringView(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

void AppendHeader(std::string& aHead, std::string_view aName, std::string_view aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

std::string ResponseHead(const http::response_header<>& aHeader)
{
  std::string head = StatusLine(aHeader.result_int(), ToStringView(aHeader.reason()));
  AppendEndToEndHeaders(
    aHeader, head, [](std::string_view, bool aNamed) { return aNamed; });
  return head;
}

std::string EncodeChunk(std::string_view aBytes)
{
  std::array<char, 20> size{};
  const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string chunk(size.data(), static_cast<std::size_t>(n));
  return chunk.append(aBytes).append("\r\n");
}

gateway::Refusal LocalResponse(unsigned aStatus, std::string aReason)
{
  gateway::Refusal response;
  response.mStatus = aStatus;
  response.mReason = std::move(aReason);
  return response;
}

std::string BuildLocalResponse(const Dialect& aDialect,
                               const gateway::RequestMetadata& aFacts,
                               const gateway::Refusal& aRefusal,
                               bool aKeepAlive)
{
  const std::string body = "{\"error\":\"" + aRefusal.mReason + "\"}";
  std::string head = StatusLine(
    aRefusal.mStatus,
    ToStringView(http::obsolete_reason(http::int_to_status(aRefusal.mStatus))));
  aDialect.WriteLocalResponseHeaders(aFacts, head);
  if (aRefusal.mRetryAfter) {
    std::array<char, 24> seconds{};
    std::snprintf(seconds.data(),
                  seconds.size(),
                  "%.3f",
                  std::chrono::duration<double>(*aRefusal.mRetryAfter).count());
    AppendHeader(head, "Retry-After", seconds.data());
  }
  AppendHeader(head, "Content-Type", "application/json");
  AppendHeader(head, "Content-Length", std::to_string(body.size()));
  if (!aKeepAlive) {
    AppendHeader(head, "Connection", "close");
  }
  return head + "\r\n" + body;
}

}
