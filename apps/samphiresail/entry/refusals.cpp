#include "apps/samphiresail/entry/refusals.hpp"

namespace samphiresail::entry {

retry::Failure ClassifyRefusal(wire::RefuseReason aReason)
{
  switch (aReason) {
    case wire::STALE_TICKET:
    case wire::STALE_CONFIGURATION:
      return retry::Failure::Stale;
    case wire::COLD_LIMIT:
    case wire::QUEUE_FULL:
      return retry::Failure::Overload;
    case wire::DEADLINE:
      return retry::Failure::Final;
    default:
      return retry::Failure::Elsewhere;
  }
}

}
