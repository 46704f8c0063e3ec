#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_HTTPFRONT_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_HTTPFRONT_HPP

#include <chrono>
#include <cstdint>
#include <memory>

#include "apps/samphiresail/entry/entrycontext.hpp"

namespace samphiresail::entry {

/// Listener for callers: OpenAI-style model calls, calls to plain services, and the
/// probes /ready and /health of the balancer.
class HttpFront
{
public:
  /// Binds at once. Throws std::runtime_error if the address is taken or the TLS files
  /// cannot be read.
  explicit HttpFront(EntryContext& aContext);
  ~HttpFront();

  /// Port that is bound.
  std::uint16_t Port() const;

  /// Waits until no request has been in flight for a moment, or for the timeout; then
  /// closes the listener.
  void Drain(std::chrono::milliseconds aTimeout);

private:
  class Listener;
  std::unique_ptr<Listener> mListener;
};

}

#endif
