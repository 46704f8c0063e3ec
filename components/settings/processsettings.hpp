#ifndef SAMPHIRESAIL_COMPONENTS_SETTINGS_PROCESSSETTINGS_HPP
#define SAMPHIRESAIL_COMPONENTS_SETTINGS_PROCESSSETTINGS_HPP

#include <chrono>
#include <cstdint>
#include <string>

#include "components/ids/ids.hpp"
#include "components/settings/socketaddress.hpp"

namespace samphiresail::settings {

/// Certificate and key files of a TLS listener; empty for plain HTTP.
struct TlsSettings
{
  std::string mCertificateFile;
  std::string mKeyFile;
};

/// CURVE keys in Z85 text for the connections between processes; empty for none. All
/// processes of a deployment share one key pair.
struct CurveSettings
{
  std::string mPublicKey;
  std::string mSecretKey;
};

/// Settings that both roles have.
struct CommonSettings
{
  ids::ProcessId mName;
  ids::VmId mVm;
  ids::AvailabilityZoneId mAvailabilityZone;
  /// Where other processes of the system connect.
  SocketAddress mPeer;
  /// Where others reach mPeer if something between them forwards connections; port 0 for
  /// mPeer itself.
  SocketAddress mAnnounce;
  /// Where metrics are served; port 0 serves none.
  SocketAddress mMetrics;
  /// Base URL of the platform's key-value service.
  std::string mStoreUrl;
  std::string mLogLevel{ "info" };
  CurveSettings mCurve;
  std::chrono::milliseconds mStoreTimeout{ 1000 };
  /// Longest time that a planned stop waits for work in flight.
  std::chrono::milliseconds mStopTimeout{ 60000 };
  std::uint32_t mTimelineEvents{ 20000 };
};

/// How an entry chooses an endpoint; the others than the default are baselines to
/// measure.
enum class RouterPolicy
{
  PowerOfTwo,
  RoundRobin,
};

/// In which order an agent serves; the others than the default are baselines to measure.
enum class QueuePolicy
{
  Fair,
  FirstInFirstOut,
};

struct EntrySettings
{
  CommonSettings mCommon;
  /// Where callers connect.
  SocketAddress mHttp;
  TlsSettings mTls;
  /// Base URL of the platform's list of VMs.
  std::string mVmListUrl;
  std::uint32_t mHttpThreads{ 128 };
  std::uint32_t mMaxBodyBytes{ 1U << 20 };
  /// Age of the evidence about the store above which the entry serves nothing that needs
  /// a key or a limit.
  std::chrono::milliseconds mInTouch{ 2500 };
  std::chrono::milliseconds mPollInterval{ 500 };
  /// Longest time that a request waits for rate credit.
  std::chrono::milliseconds mCreditWait{ 250 };
  std::chrono::milliseconds mGrantLife{ 2000 };
  /// Silence on a connection with work in flight after which it is opened anew.
  std::chrono::milliseconds mSilence{ 1500 };
  RouterPolicy mRouter{ RouterPolicy::PowerOfTwo };
};

struct AgentSettings
{
  CommonSettings mCommon;
  ids::EndpointId mEndpoint;
  ids::PoolId mPool;
  /// Base URL of the engine or service beside the agent.
  std::string mBackendUrl;
  /// Age above which a ticket that the agent issued is refused.
  std::chrono::milliseconds mTicketLife{ 2000 };
  std::chrono::milliseconds mProgressInterval{ 400 };
  QueuePolicy mQueue{ QueuePolicy::Fair };
};

}

#endif
