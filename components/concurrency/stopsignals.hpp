#ifndef SAMPHIRESAIL_COMPONENTS_CONCURRENCY_STOPSIGNALS_HPP
#define SAMPHIRESAIL_COMPONENTS_CONCURRENCY_STOPSIGNALS_HPP

#include <csignal>

namespace samphiresail::concurrency {

/// Keeps SIGTERM and SIGINT from this thread and all that it starts, so that one thread
/// can wait for them, and ignores SIGPIPE. Returns the signals to wait for.
sigset_t BlockStopSignals();

/// Waits for one of the signals.
void WaitForStopSignal(const sigset_t& aSignals);

}

#endif
