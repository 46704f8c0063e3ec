#ifndef SAMPHIRESAIL_COMPONENTS_HTTPCLIENT_BASEURL_HPP
#define SAMPHIRESAIL_COMPONENTS_HTTPCLIENT_BASEURL_HPP

#include <optional>
#include <string>
#include <string_view>

namespace samphiresail::httpclient {

/// Scheme, host and port of a server, such as of http://127.0.0.1:2379.
struct BaseUrl
{
  bool mTls{ false };
  /// Host name, or address without brackets.
  std::string mHost;
  std::string mPort;
  /// Host, with brackets and port if needed, as the Host field names it.
  std::string mAuthority;
};

/// Reads http://HOST, http://HOST:PORT, the same with https, or without a scheme as with
/// http; an IPv6 address stands in brackets, and a slash may stand at the end. Returns
/// nothing for other text.
std::optional<BaseUrl> ParseBaseUrl(std::string_view aText);

}

#endif
