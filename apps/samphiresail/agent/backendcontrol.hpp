#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_BACKENDCONTROL_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_BACKENDCONTROL_HPP

#include <string>

#include "apps/samphiresail/agent/agentactions.hpp"
#include "apps/samphiresail/agent/backendcalls.hpp"
#include "components/concurrency/serialworker.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::agent {

/// Asks the back end for its health and its resident models, and orders changes.
class BackendControl
{
public:
  BackendControl(std::string aUrl, const timing::Clock& aClock, BackendSink aSink);

  void QueryHealth();
  void QueryResidents();
  void Send(const ledger::Order& aOrder);

private:
  std::string mUrl;
  const timing::Clock& mClock;
  BackendSink mSink;
  concurrency::SerialWorker mQueries;
  concurrency::SerialWorker mOrders;
};

}

#endif
