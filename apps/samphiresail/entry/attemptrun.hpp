#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ATTEMPTRUN_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ATTEMPTRUN_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "apps/samphiresail/entry/attemptchannel.hpp"
#include "apps/samphiresail/entry/entrycontext.hpp"
#include "components/routing/endpointtable.hpp"
#include "components/timing/clock.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::entry {

/// Next bytes of the answer, in order and without gaps.
struct AttemptChunk
{
  std::string mData;
  /// Status of the back end's answer; stated with the first chunk, otherwise 0.
  int mHttpStatus{ 0 };
};

/// The attempt has not run and will not run at its endpoint.
struct AttemptRefused
{
  wire::Refuse mRefuse;
};

/// Nothing was sent to the endpoint.
struct AttemptNotSent
{};

/// The answer is whole, or the back end failed as the state says.
struct AttemptCompleted
{
  wire::Complete mComplete;
};

/// The agent is out of reach or has restarted; the outcome is not known.
struct AttemptLost
{};

/// Nothing has happened for a while; the caller of Next may check its own conditions.
struct AttemptWaiting
{};

struct AttemptDeadline
{};

using AttemptStep = std::variant<AttemptChunk,
                                 AttemptRefused,
                                 AttemptNotSent,
                                 AttemptCompleted,
                                 AttemptLost,
                                 AttemptWaiting,
                                 AttemptDeadline>;

/// One attempt at one agent as a traffic thread follows it. Detects a connection that has
/// gone silent, opens it anew and has the agent attach the attempt to the new one.
class AttemptRun
{
public:
  /// Sends the submit. Its attempt and incarnation must be set; the ticket is filled in.
  AttemptRun(EntryContext& aContext,
             routing::EndpointDescription aEndpoint,
             wire::Submit aSubmit,
             timing::Instant aDeadline);
  ~AttemptRun();
  AttemptRun(const AttemptRun&) = delete;
  AttemptRun& operator=(const AttemptRun&) = delete;

  /// Waits for the next step. A step other than a chunk or a wait is the last one.
  AttemptStep Next();

  /// Tells the agent that nobody waits for the answer.
  void Cancel();

  const routing::EndpointDescription& Endpoint() const { return mEndpoint; }
  /// Version of the configuration under which the caller was authenticated.
  units::Version ConfigurationVersion() const
  {
    return units::Version(mSubmit.configuration_version());
  }

private:
  void SendSubmit();
  std::optional<AttemptStep> OnEvent(AttemptEvent aEvent);
  std::optional<AttemptStep> OnRefuse(wire::Refuse aRefuse);
  std::optional<AttemptStep> OnNotSent();
  std::optional<AttemptStep> OnSilence();
  std::optional<AttemptStep> TakeBuffered();
  AttemptStep Finish();
  void ReportLoad(const wire::Load& aLoad);

  EntryContext& mContext;
  routing::EndpointDescription mEndpoint;
  wire::Submit mSubmit;
  timing::Instant mDeadline;
  std::shared_ptr<AttemptChannel> mChannel;
  std::uint64_t mConnection{ 0 };
  std::uint32_t mSubmits{ 0 };
  std::uint32_t mSilences{ 0 };
  bool mAcknowledged{ false };
  timing::Instant mHeardAt;
  std::uint64_t mChunksHeld{ 0 };
  std::map<std::uint64_t, AttemptChunk> mEarlyChunks;
  std::optional<wire::Complete> mComplete;
  bool mFinished{ false };
};

}

#endif
