#ifndef SAMPHIRESAIL_COMPONENTS_FRONTEND_CALLERSESSION_HPP
#define SAMPHIRESAIL_COMPONENTS_FRONTEND_CALLERSESSION_HPP

#include <exception>
#include <memory>
#include <optional>
#include <string_view>

#include "components/frontend/forwarder.hpp"

namespace samphiresail::frontend {

/// Connection of a caller: reads requests one after the other and sends a response to
/// each.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  CallerSession(FrontendContext& aContext, tcp::socket aSocket);

  /// Runs until the connection ends.
  asio::awaitable<void> Run();

  /// Closes the connection if it was idle for too long or its request arrives too slowly.
  void Tick(timing::Instant aNow);
  /// Closes the connection after its next response, or at aIdleDeadline if it is idle
  /// then and has waited for a request for a moment.
  void Drain(timing::Instant aIdleDeadline);
  /// True while a request is read, served or refused, or its bytes wait to be read, and
  /// for a moment after a response that says in a planned stop that the connection is
  /// kept.
  bool IsBusy(timing::Instant aNow) const;
  /// Since when the connection has waited for a request; none if it does not.
  std::optional<timing::Instant> IdleSince() const;
  /// Closes an idle connection, since its place is needed. Returns false if part of a
  /// request has arrived.
  bool CloseIdle();

private:
  using RequestParser = http::request_parser<http::string_body>;

  enum class State
  {
    Idle,
    ReadingHead,
    ReadingBody,
    Serving,
    /// The last response was sent, and what the caller still sends is discarded.
    Closing,
  };

  asio::awaitable<bool> ServeOne();
  void Enter(State aState);
  /// Returns how long ago the bytes that were just read arrived, see EventLoopLag.
  timing::Duration UnreadTime();
  /// True if the state has lasted, or brought nothing, for longer than it may.
  bool IsOverdue(timing::Instant aNow) const;
  /// Reads a request; facts are those of its head. Returns the error that ended it, if
  /// any.
  asio::awaitable<ErrorCode> ReadRequest(RequestParser& aParser,
                                         std::optional<gateway::RequestMetadata>& aFacts,
                                         limits::ByteBudget::Share& aBytes);
  /// Reads the body; the bytes are those that it may take.
  asio::awaitable<ErrorCode> ReadBody(RequestParser& aParser,
                                      limits::ByteBudget::Share& aBytes);
  /// Waits for a moment until there is memory for a body of the size. Returns false if
  /// there is none.
  asio::awaitable<bool> AwaitMemory(limits::ByteBudget::Share& aBytes, std::size_t aSize);
  /// Answers a request that could not be read, unless its connection ended.
  asio::awaitable<void> RefuseUnreadable(
    ErrorCode aEc,
    const std::optional<gateway::RequestMetadata>& aFacts);
  /// Discards what the caller still sends: bytes that stay unread would reset the
  /// connection before the caller has read the last response.
  asio::awaitable<void> DiscardRest();
  asio::awaitable<bool> Refuse(const gateway::RequestMetadata& aFacts,
                               const gateway::Refusal& aRefusal,
                               bool aKeepAlive);
  asio::awaitable<void> WatchForDisconnect(Exchange& aExchange,
                                           std::uint64_t aRequestsServed);
  const gateway::CallerLimits& Limits() const;
  /// Logs that this entry closes the connection without a response.
  void LogClosed(std::string_view aReason, timing::Instant aNow);
  bool HasUnreadBytes() const;
  void LogException(const std::exception& aError);

  FrontendContext& mContext;
  tcp::socket mSocket;
  ConnectionBuffer mBuffer;
  State mState{ State::Idle };
  timing::Instant mStateSince;
  /// The limits when the state began. A change of the configuration shortens none of them
  /// for what has begun.
  gateway::CallerLimits mLimitsSince;
  /// When the body must be complete: when the caller stops waiting.
  timing::Instant mBodyDeadline{ timing::Instant::max() };
  /// How long the last part of the request has waited to be read.
  timing::Duration mUnread{ 0 };
  bool mTooSlow{ false };
  /// The last response was sent before the whole request was read.
  bool mHasUnreadRest{ false };
  bool mDraining{ false };
  /// The last response of a planned stop said that the connection is kept.
  bool mKeptInStop{ false };
  /// The connection is kept after the current response, as its head says.
  bool mKeepAlive{ false };
  /// The exchange of the request that is being served, or null.
  const Exchange* mExchange{ nullptr };
  timing::Instant mIdleDeadline{ timing::Instant::max() };
  /// Number of requests served; WatchForDisconnect() ends if it has changed.
  std::uint64_t mRequestsServed{ 0 };
};

}

#endif
