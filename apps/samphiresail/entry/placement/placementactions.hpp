#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_PLACEMENT_PLACEMENTACTIONS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_PLACEMENT_PLACEMENTACTIONS_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "components/store/keyvaluestore.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

/// Runs a call of the store; its reply comes back to OnStoreReply under the identifier.
struct PlacementStoreCall
{
  std::uint64_t mId{ 0 };
  store::StoreRequest mRequest;
};

/// Asks for a load permit; the answer comes back to OnPermit under the identifier.
struct AskPermit
{
  std::uint64_t mId{ 0 };
};

struct GiveBackPermit
{
  std::string mPermit;
};

/// Sends a placement order to an agent; its answer comes back to OnPlacementReply.
struct SendOrder
{
  std::string mAddress;
  wire::Placement mPlacement;
};

/// Event for the time line.
struct NotePlacement
{
  std::string mKind;
  std::string mEndpoint;
  std::string mDetail;
};

using PlacementAction =
  std::variant<PlacementStoreCall, AskPermit, GiveBackPermit, SendOrder, NotePlacement>;
using PlacementActions = std::vector<PlacementAction>;

}

#endif
