#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_HTTPMESSAGE_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_HTTPMESSAGE_HPP

#include <string>
#include <string_view>

#include "components/frontend/dialect.hpp"
#include "components/gateway/trafficcontrol.hpp"

namespace samphiresail::frontend {

/// Last chunk of a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view ToStringView(beast::string_view aText);
/// Compares header names without regard to case.
bool EqualHeaderNames(std::string_view aLeft, std::string_view aRight);
/// True for a header that applies to one connection only.
bool IsHopByHopHeader(std::string_view aName);
void AppendHeader(std::string& aHead, std::string_view aName, std::string_view aValue);

/// Appends the end-to-end header lines of a message, without Content-Length. aSkip is
/// called with a name and whether the Connection header lists it; a header for which it
/// returns true is left out.
template<typename Skip>
void AppendEndToEndHeaders(const http::fields& aFields,
                           std::string& aHead,
                           const Skip& aSkip)
{
  http::token_list named(aFields[http::field::connection]);
  for (const auto& field : aFields) {
    const std::string_view name = ToStringView(field.name_string());
    if (!IsHopByHopHeader(name) && !EqualHeaderNames(name, "Content-Length") &&
        !aSkip(name, named.exists(field.name_string()))) {
      AppendHeader(aHead, name, ToStringView(field.value()));
    }
  }
}

/// Returns the status line and the end-to-end header lines of an endpoint's response. To
/// be called before the body is read, since the parser adds the fields of the trailer.
std::string ResponseHead(const http::response_header<>& aHeader);
/// Returns the bytes encoded as one chunk of a chunked body.
std::string EncodeChunk(std::string_view aBytes);

/// Returns a response that this process generates itself, without Retry-After.
gateway::Refusal LocalResponse(unsigned aStatus, std::string aReason);
/// Builds the bytes of a response that this process generates itself.
std::string BuildLocalResponse(const Dialect& aDialect,
                               const gateway::RequestMetadata& aFacts,
                               const gateway::Refusal& aRefusal,
                               bool aKeepAlive);

}

#endif
