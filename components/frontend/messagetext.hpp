#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_MESSAGETEXT_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_MESSAGETEXT_HPP

#include <string>
#include <string_view>

#include "components/frontend/dialect.hpp"
#include "components/gateway/trafficcontrol.hpp"

namespace samphiresail::frontend {

/// Last chunk of a body in chunks.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string_view View(beast::string_view aText);
/// Compares header names, which have no case.
bool Same(std::string_view aLeft, std::string_view aRight);
/// True for a header that concerns one connection only.
bool HopHeader(std::string_view aName);
void AppendLine(std::string& aHead, std::string_view aName, std::string_view aValue);

/// Appends the header lines of a message that concern more than one connection. aSkip is
/// called with a name and whether the Connection header lists it.
template<typename Skip>
void AppendEndToEnd(const http::fields& aFields, std::string& aHead, const Skip& aSkip)
{
  http::token_list named(aFields[http::field::connection]);
  for (const auto& field : aFields) {
    const std::string_view name = View(field.name_string());
    if (!HopHeader(name) && !Same(name, "Content-Length") &&
        !aSkip(name, named.exists(field.name_string()))) {
      AppendLine(aHead, name, View(field.value()));
    }
  }
}

/// Returns the status line and the end-to-end header lines of an endpoint's answer.
std::string AnswerHead(const http::response_header<>& aHeader);
/// Returns the bytes as one chunk of a body in chunks.
std::string Chunk(std::string_view aBytes);

/// Returns an answer of this system's own that promises no return.
gateway::Refusal OwnAnswer(unsigned aStatus, std::string aReason);
/// Builds an answer of this system's own.
std::string BuildOwnAnswer(const Dialect& aDialect,
                           const gateway::RequestMetadata& aFacts,
                           const gateway::Refusal& aRefusal,
                           bool aKeepAlive);

}

#endif
