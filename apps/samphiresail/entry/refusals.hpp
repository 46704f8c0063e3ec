#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_REFUSALS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_REFUSALS_HPP

#include "components/retry/retrypolicy.hpp"
#include "components/timing/clock.hpp"
#include "components/units/quantity.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

struct EntryContext;

/// Returns what a refusal of an agent means for the next attempt.
retry::Failure ClassifyRefusal(wire::RefuseReason aReason);

/// Waits until this entry follows a newer configuration than the one that an agent
/// refused as old, but not beyond the instant or the in-touch limit. Without the wait the
/// attempt would be sent again under the same version until it is given up.
void AwaitNewerConfiguration(EntryContext& aContext,
                             units::Version aRefused,
                             timing::Instant aUntil);

}

#endif
