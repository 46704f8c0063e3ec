#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_ACTIONS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CONTROL_ACTIONS_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "apps/samphiresail/entry/control/controlsnapshot.hpp"
#include "components/limits/permitholder.hpp"
#include "components/store/keyvaluestore.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

/// Sends a message to another entry at its address.
struct SendToPeer
{
  ids::ProcessId mTo;
  std::string mAddress;
  wire::Envelope mEnvelope;
};

/// Answers a message on the connection by which it came.
struct ReplyToPeer
{
  std::string mRoute;
  wire::Envelope mEnvelope;
};

/// Runs a call of the store; its reply comes back under the same identifier.
struct StoreCall
{
  std::uint64_t mId{ 0 };
  store::StoreRequest mRequest;
};

/// Gives the traffic threads a new view of the fleet.
struct PublishSnapshot
{
  std::shared_ptr<const ControlSnapshot> mSnapshot;
};

/// Tells the traffic threads the instant before which all accepted changes are known.
struct PublishEvidence
{
  timing::Instant mSince;
};

/// Ends the work in flight of keys that the adopted configuration no longer has.
struct WithdrawKeys
{
  std::vector<ids::KeyHash> mKeys;
};

/// Answers a request of the traffic threads for a load permit.
struct AnswerPermit
{
  std::uint64_t mId{ 0 };
  limits::PermitReply mAnswer;
};

/// States that the shares have been handed over, or that nobody could take them.
struct HandOverDone
{};

/// States that the process has left the records of the store and may exit.
struct LeaveDone
{};

/// Event for the time line.
struct NoteEvent
{
  std::string mKind;
  std::string mDetail;
};

using Action = std::variant<SendToPeer,
                            ReplyToPeer,
                            StoreCall,
                            PublishSnapshot,
                            PublishEvidence,
                            WithdrawKeys,
                            AnswerPermit,
                            HandOverDone,
                            LeaveDone,
                            NoteEvent>;

using Actions = std::vector<Action>;

}

#endif
