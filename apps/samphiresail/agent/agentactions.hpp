#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTACTIONS_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_AGENT_AGENTACTIONS_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "components/attempts/attempt.hpp"
#include "components/ids/ids.hpp"
#include "components/ledger/order.hpp"
#include "components/store/keyvaluestore.hpp"
#include "components/units/quantity.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::agent {

/// Opaque identity of the connection of another process.
using Route = std::string;

/// Number by which the core recognises the answer to one of its store calls.
using StoreCallId = std::uint64_t;

/// Part of a back end's answer.
struct BackendChunk
{
  ids::AttemptId mAttempt;
  std::string mData;
  int mHttpStatus{ 0 };
  std::string mContentType;
};

enum class BackendOutcome
{
  /// The answer is whole.
  Answered,
  /// No connection came up; the back end got no byte.
  NotSent,
  /// The connection broke or the back end went silent after it may have got the call.
  Broken,
  /// The answer breaks the grammar of HTTP; the call may have run.
  Malformed,
  /// The connection failed before the end of an answer without a length; the call may
  /// have run.
  Truncated,
  Cancelled,
};

/// End of a call to the back end.
struct BackendDone
{
  ids::AttemptId mAttempt;
  BackendOutcome mOutcome{ BackendOutcome::Broken };
  int mHttpStatus{ 0 };
  std::string mContentType;
  units::Tokens mPromptTokens;
  units::Tokens mOutputTokens;
  /// What is wrong with a malformed or truncated answer.
  std::string mFault;
};

enum class BackendState
{
  Ready,
  Cold,
  /// No connection came up.
  Unreachable,
  /// No answer in time.
  Silent,
};

/// Answer to QueryHealth.
struct HealthAnswer
{
  BackendState mState{ BackendState::Unreachable };
  /// When the question was sent.
  timing::Instant mAskedAt;
};

/// Answer to QueryResidentModels.
struct ResidentAnswer
{
  /// False if the engine gave no list.
  bool mAnswered{ false };
  std::vector<ids::ModelId> mModels;
  timing::Instant mAskedAt;
};

/// Answer to OrderBackend.
struct OrderAnswer
{
  units::FencingNumber mFencing;
  ledger::OrderOutcome mOutcome{ ledger::OrderOutcome::Unknown };
};

using BackendEvent =
  std::variant<BackendChunk, BackendDone, HealthAnswer, ResidentAnswer, OrderAnswer>;

/// Answer to CallStore.
struct StoreAnswer
{
  StoreCallId mCall{ 0 };
  store::StoreReply mReply;
};

struct SendEnvelope
{
  Route mRoute;
  wire::Envelope mEnvelope;
};

struct StartBackend
{
  ids::AttemptId mAttempt;
  attempts::BackendCall mCall;
};

struct CancelBackend
{
  ids::AttemptId mAttempt;
};

struct QueryHealth
{};

struct QueryResidentModels
{};

/// Orders the engine to load or unload a model.
struct OrderBackend
{
  ledger::Order mOrder;
};

struct CallStore
{
  StoreCallId mCall{ 0 };
  store::StoreRequest mRequest;
};

/// Event for the time line.
struct RecordEvent
{
  std::string mKind;
  ids::RequestId mRequest;
  ids::ClientAccountId mAccount;
  std::string mDetail;
};

/// The planned stop is complete.
struct Exit
{};

using Action = std::variant<SendEnvelope,
                            StartBackend,
                            CancelBackend,
                            QueryHealth,
                            QueryResidentModels,
                            OrderBackend,
                            CallStore,
                            RecordEvent,
                            Exit>;

using Actions = std::vector<Action>;

}

#endif
