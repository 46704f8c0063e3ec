#include "components/httpclient/baseurl.hpp"

#include <charconv>
#include <cstdint>

namespace samphiresail::httpclient {

namespace {

constexpr std::string_view kPlainScheme = "http://";
constexpr std::string_view kTlsScheme = "https://";

bool IsPort(std::string_view aText)
{
  std::uint16_t port = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, ec] = std::from_chars(aText.data(), last, port);
  return !aText.empty() && ec == std::errc{} && end == last;
}

}

std::optional<BaseUrl> ParseBaseUrl(std::string_view aText)
{
  BaseUrl url;
  url.mTls = aText.starts_with(kTlsScheme);
  if (url.mTls) {
    aText.remove_prefix(kTlsScheme.size());
  } else if (aText.starts_with(kPlainScheme)) {
    aText.remove_prefix(kPlainScheme.size());
  }
  if (aText.ends_with('/')) {
    aText.remove_suffix(1);
  }
  url.mAuthority = std::string(aText);
  url.mPort = url.mTls ? "443" : "80";
  std::string_view host = aText;
  const std::size_t bracket = aText.rfind(']');
  const std::size_t colon = aText.rfind(':');
  if (colon != std::string_view::npos &&
      (bracket == std::string_view::npos || colon > bracket)) {
    host = aText.substr(0, colon);
    url.mPort = std::string(aText.substr(colon + 1));
  }
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  if (host.empty() || !IsPort(url.mPort) ||
      host.find_first_of("/?#@[] ") != std::string_view::npos) {
    return std::nullopt;
  }
  url.mHost = std::string(host);
  return url;
}

}
