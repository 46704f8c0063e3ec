#ifndef SAMPHIRESAIL_COMPONENTS_CONCURRENCY_HELDSIGNALS_HPP
#define SAMPHIRESAIL_COMPONENTS_CONCURRENCY_HELDSIGNALS_HPP

#include <csignal>

namespace samphiresail::concurrency {

/// Holds back SIGHUP, SIGINT and SIGTERM, whose default action ends the process, until
/// the program has installed its handlers. One that comes meanwhile is delivered then.
class HeldSignals
{
public:
  /// Blocks the signals in this thread and those that it starts.
  HeldSignals();
  /// Delivers what was held back; later signals are not held back. May be called again.
  void Release();

private:
  sigset_t mMaskBefore{};
  bool mHeld{ true };
};

}

#endif
