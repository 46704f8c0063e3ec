#ifndef SAMPHIRESAIL_COMPONENTS_CONCURRENCY_STOPSIGNALS_HPP
#define SAMPHIRESAIL_COMPONENTS_CONCURRENCY_STOPSIGNALS_HPP

#include <csignal>

namespace samphiresail::concurrency {

/// Blocks SIGTERM and SIGINT in this thread and all threads that it starts, so that one
/// thread can wait for them, and ignores SIGPIPE. Returns the signals to wait for.
sigset_t BlockStopSignals();

/// Blocks until one of the signals arrives.
void WaitForStopSignal(const sigset_t& aSignals);

}

#endif
