#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_PEERSERVICE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_PEERSERVICE_HPP

#include <optional>

#include "apps/samphiresail/entry/entrycontext.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

/// Returns the answer to an operator's question about the time line or the status;
/// nothing for any other envelope.
std::optional<wire::Envelope> AnswerOperator(const EntryContext& aContext,
                                             const wire::Envelope& aQuestion);

}

#endif
