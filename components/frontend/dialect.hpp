#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_DIALECT_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_DIALECT_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "components/frontend/http.hpp"
#include "components/gateway/requestmetadata.hpp"

namespace samphiresail::frontend {

/// Values that an attempt carries in headers in addition to the caller's own headers.
struct AttemptMetadata
{
  /// The only endpoint that may run the attempt.
  ids::EndpointId mEndpoint;
  std::chrono::milliseconds mTimeLeft{ 0 };
  /// Account that holds the caller's key; empty on open routes.
  ids::ClientAccountId mAccount;
  int mPriority{ 5 };
  /// Event after which a stream is resumed; empty to start at its beginning.
  std::string mLastEventId;
};

/// Translates between HTTP headers and the metadata of requests and responses. Only
/// implementations contain header names; the code that forwards and routes does not.
class Dialect
{
public:
  virtual ~Dialect() = default;

  /// Reads the metadata of a request; returns nothing if its identifier is missing.
  virtual std::optional<gateway::RequestMetadata> ReadRequest(
    const http::request_header<>& aHeader) const = 0;
  /// True for a header that only this system may set or that must not be forwarded.
  virtual bool IsReservedHeader(std::string_view aName) const = 0;
  /// True for a header that is forwarded even if the caller's Connection header lists it
  /// as hop-by-hop.
  virtual bool IsAlwaysForwardedHeader(std::string_view aName) const = 0;
  /// Appends the header lines of an attempt.
  virtual void WriteAttemptHeaders(const AttemptMetadata& aAttempt,
                                   std::string& aHead) const = 0;
  virtual gateway::ResponseMetadata ReadResponse(
    const http::response_header<>& aHeader) const = 0;
  /// Appends the header lines of a response that this process generates itself.
  virtual void WriteLocalResponseHeaders(const gateway::RequestMetadata& aFacts,
                                         std::string& aHead) const = 0;
};

}

#endif
