#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_SUBMITBUILDER_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_SUBMITBUILDER_HPP

#include "apps/samphiresail/entry/callerrequest.hpp"
#include "components/ids/ids.hpp"
#include "components/units/quantity.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

/// Returns the submit of one attempt of a request; ticket, incarnation and deadline are
/// filled in when it is sent.
wire::Submit BuildSubmit(const CallerRequest& aRequest,
                         const ids::AttemptId& aAttempt,
                         units::Version aConfiguration);

}

#endif
