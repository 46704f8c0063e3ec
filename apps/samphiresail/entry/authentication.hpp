#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_AUTHENTICATION_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_AUTHENTICATION_HPP

#include <string>

#include "apps/samphiresail/entry/callerrequest.hpp"
#include "apps/samphiresail/entry/entrycontext.hpp"

namespace samphiresail::entry {

/// Fills in the client account of the key in an Authorization header. Throws ApiError if
/// the entry is not in touch, or the key is missing or not issued.
void Authenticate(const EntryContext& aContext,
                  const RoutingSnapshot& aSnapshot,
                  const std::string& aAuthorization,
                  CallerRequest& aRequest);

/// Returns the snapshot under which the request may be dispatched now. Throws ApiError if
/// the entry is not in touch or the key has been withdrawn.
SnapshotPointer CheckDispatch(const EntryContext& aContext,
                              const CallerRequest& aRequest);

/// Returns whether the key has been withdrawn since the request was admitted.
bool IsKeyWithdrawn(const EntryContext& aContext, const CallerRequest& aRequest);

}

#endif
