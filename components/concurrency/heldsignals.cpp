#include "components/concurrency/heldsignals.hpp"

namespace samphiresail::concurrency {

HeldSignals::HeldSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, &mMaskBefore);
}

void HeldSignals::Release()
{
  if (mHeld) {
    mHeld = false;
    pthread_sigmask(SIG_SETMASK, &mMaskBefore, nullptr);
  }
}

}
