#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_ATTEMPTSTATE_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_ATTEMPTSTATE_HPP

#include <array>
#include <memory>
#include <optional>

#include "components/frontend/backendpool.hpp"
#include "components/gateway/requestmetadata.hpp"
#include "components/gateway/trafficcontrol.hpp"

namespace samphiresail::frontend {

using ResponseParser = http::response_parser<http::buffer_body>;

/// One attempt of a request at an endpoint: its connection and what has arrived of its
/// response.
struct AttemptState
{
  /// How far the response has come.
  enum class Head
  {
    Awaited,
    /// The head of a response to the request is in mParser.
    Arrived,
    /// The endpoint responded that it did not run the request.
    Refused,
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The connection broke, or brought no response to the request.
    Failed,
  };

  gateway::Attempt mAttempt;
  settings::SocketAddress mAddress;
  std::unique_ptr<BackendConnection> mConnection;
  /// The connection is being opened; nothing was sent.
  bool mConnecting{ false };
  /// The request was sent, and the attempt has not ended.
  bool mInFlight{ false };
  /// When the endpoint was sent the request.
  timing::Instant mSentAt{};
  /// Part of the request could not be written.
  bool mSendFailed{ false };
  /// When ExchangeTable::Tick() acts on the attempt if it has brought nothing until then.
  timing::Instant mDeadline{ timing::Instant::max() };
  Head mHead{ Head::Awaited };
  std::optional<ResponseParser> mParser;
  gateway::ResponseMetadata mFacts;
  /// The head of some response has arrived.
  bool mResponseBegan{ false };
  /// The response has neither a length nor chunks, so that it ends with its connection.
  bool mHasNoLength{ false };
  /// For such a response that has ended: its endpoint accepted a connection afterwards.
  bool mEndpointRuns{ false };
  /// Blocks of events that the response has brought.
  std::size_t mEvents{ 0 };
  /// The error that ended the connection, if any.
  ErrorCode mError;
  /// The attempt began as a standby.
  bool mIsStandby{ false };
  /// The attempt was a standby and has taken over.
  bool mTookOver{ false };
  /// This entry ended the attempt itself.
  bool mAborted{ false };
  /// The response was given up for want of memory, which says nothing of its endpoint.
  bool mWithoutMemory{ false };
  /// Bytes of the current response after its head, with the framing of its chunks.
  std::size_t mBytesAfterHead{ 0 };
  /// Buffer for the bytes of a body.
  std::array<char, 8192> mBytes{};

  /// True if the head that has arrived is that of a response that can be forwarded, and
  /// not of a failure.
  bool IsAnswer() const
  {
    const auto status = http::to_status_class(mParser->get().result_int());
    return status == http::status_class::successful
             ? mFacts.mHasResponseDigest
             : status != http::status_class::server_error;
  }
  /// True if the head that has arrived is that of a failure or of a response that must be
  /// discarded.
  bool IsFailure() const
  {
    return http::to_status_class(mParser->get().result_int()) !=
             http::status_class::successful ||
           !mFacts.mHasResponseDigest;
  }
  /// Closes the connection; the coroutine that waits for it receives an error.
  void Close()
  {
    if (mConnection != nullptr) {
      CloseSocket(mConnection->mSocket);
    }
  }
  /// Ends the attempt for a reason that does not speak against its endpoint.
  void Abort()
  {
    mAborted = true;
    Close();
  }
};

}

#endif
