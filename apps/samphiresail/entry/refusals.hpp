#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_REFUSALS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_REFUSALS_HPP

#include "components/retry/retrypolicy.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

/// Returns what a refusal of an agent means for the next attempt.
retry::Failure ClassifyRefusal(wire::RefuseReason aReason);

}

#endif
