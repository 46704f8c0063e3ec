#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CALLERREQUEST_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_CALLERREQUEST_HPP

#include <chrono>
#include <string>

#include "apps/samphiresail/entry/routingsnapshot.hpp"
#include "components/catalogue/catalogue.hpp"
#include "components/ids/ids.hpp"
#include "components/units/quantity.hpp"

namespace samphiresail::entry {

/// HTTP request as it arrived, without its key.
struct RawRequest
{
  std::string mMethod;
  std::string mPath;
  /// Path with its query.
  std::string mTarget;
  std::string mContentType;
  std::string mBody;
  /// Class that the caller asks for; empty for the default.
  std::string mClass;
  std::string mIdempotencyKey;
  /// Milliseconds that the caller is willing to wait; empty for the default.
  std::string mDeadline;
};

enum class RequestKind
{
  Model,
  Service,
};

/// What the time line, the log and the metrics say about a request.
struct RequestSummary
{
  ids::RequestId mId;
  ids::ClientAccountId mAccount;
  catalogue::RequestClass mClass{ catalogue::RequestClass::Streamed };
  ids::ModelId mModel;
  ids::ServiceId mService;
};

/// Checked request of a caller.
struct CallerRequest
{
  ids::RequestId mId;
  RequestKind mKind{ RequestKind::Model };
  ids::ClientAccountId mAccount;
  ids::KeyHash mKeyHash;
  std::uint32_t mWeight{ 1 };
  /// True if no key is needed; nothing is charged then.
  bool mOpen{ false };
  catalogue::RequestClass mClass{ catalogue::RequestClass::Streamed };
  ids::ModelId mModel;
  ids::ServiceId mService;
  ids::PoolId mPool;
  std::string mMethod;
  std::string mTarget;
  std::string mContentType;
  std::string mBody;
  bool mStream{ false };
  /// False if the call must run at most once.
  bool mRepeatable{ true };
  std::string mIdempotencyKey;
  units::Tokens mPromptTokens;
  units::Tokens mMaxOutput;
  std::chrono::milliseconds mDeadline{ 0 };

  RequestSummary Summary() const { return { mId, mAccount, mClass, mModel, mService }; }

  /// Tokens that are charged before dispatch.
  units::Tokens Cost() const { return mPromptTokens + mMaxOutput; }
};

/// Checks a request against the snapshot and completes what the authentication has filled
/// in. Throws ApiError for each kind of bad input.
CallerRequest ParseCallerRequest(const RawRequest& aRaw,
                                 const RoutingSnapshot& aSnapshot,
                                 CallerRequest aAuthenticated);

}

#endif
