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

/// Reads http://HOST, http://HOST:PORT and the same with https, with an IPv6 address in
/// brackets and a slash at the end allowed. Returns nothing for other text.
std::optional<BaseUrl> ParseBaseUrl(std::string_view aText);

}

#endif
