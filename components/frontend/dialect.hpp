#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_DIALECT_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_DIALECT_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "components/frontend/http.hpp"
#include "components/gateway/requestmetadata.hpp"

namespace samphiresail::frontend {

/// What an attempt tells its endpoint beside the caller's own headers.
struct AttemptMetadata
{
  /// Only this endpoint may run the attempt.
  ids::EndpointId mEndpoint;
  std::chrono::milliseconds mTimeLeft{ 0 };
  /// Account that holds the caller's key; empty on open routes.
  ids::ClientAccountId mAccount;
  int mPriority{ 5 };
  /// Event after which a stream goes on; empty to start at its beginning.
  std::string mLastEventId;
};

/// How callers and endpoints state facts in the headers of HTTP messages. Implementations
/// know names; the code that forwards and decides does not.
class Dialect
{
public:
  virtual ~Dialect() = default;

  /// Reads a request; returns nothing if it lacks what every request must have.
  virtual std::optional<gateway::RequestMetadata> ReadRequest(
    const http::request_header<>& aHeader) const = 0;
  /// True for a header that only this system may set or that must not be passed on.
  virtual bool IsReservedHeader(std::string_view aName) const = 0;
  /// True for a header that is passed on even if the caller calls it a hop's own.
  virtual bool IsAlwaysForwardedHeader(std::string_view aName) const = 0;
  /// Appends the header lines of an attempt.
  virtual void WriteAttemptHeaders(const AttemptMetadata& aFacts,
                                   std::string& aHead) const = 0;
  virtual gateway::ResponseMetadata ReadResponse(
    const http::response_header<>& aHeader) const = 0;
  /// Appends the header lines of an answer of this system's own.
  virtual void WriteLocalResponseHeaders(const gateway::RequestMetadata& aFacts,
                                         std::string& aHead) const = 0;
};

}

#endif
