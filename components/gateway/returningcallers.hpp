#ifndef SAMPHIRESAIL_COMPONENTS_GATEWAY_RETURNINGCALLERS_HPP
#define SAMPHIRESAIL_COMPONENTS_GATEWAY_RETURNINGCALLERS_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "components/gateway/requestmetadata.hpp"
#include "components/timing/clock.hpp"

namespace samphiresail::gateway {

/// Workload: callers that come back after a refusal, mostly at another entry. Remembers
/// the requests that this entry refused and those that its peers report, so that a
/// returning caller is recognised; every attempt of a caller has its own identifier, but
/// the prompt is the same.
class ReturningCallers
{
public:
  /// How long a refused request is remembered; callers come back within this time.
  static constexpr timing::Duration kLifetime = std::chrono::seconds(6);
  /// How long an own refusal is included in peer reports, since datagrams can be lost.
  static constexpr timing::Duration kReportTime = std::chrono::milliseconds(700);
  /// Most requests that are remembered at a time. The reports of peers leave room for
  /// this entry's own refusals.
  static constexpr std::size_t kMaxRemembered = 65536;
  static constexpr std::size_t kMaxReportedRemembered = kMaxRemembered / 2;
  /// Maximum number of refusals in one peer report.
  static constexpr std::size_t kMaxReported = 64;

  /// Identifies a request by its caller and prompt; none if it has no prompt.
  static std::optional<std::uint64_t> Key(const RequestMetadata& aMetadata);

  /// Records that this entry refused a request whose caller first asked at aFirst.
  void Refuse(std::uint64_t aKey, timing::Instant aFirst, timing::Instant aNow);
  /// Records refusals that a peer reported.
  void AddReported(const std::vector<std::uint64_t>& aKeys, timing::Instant aNow);

  /// Returns when the caller of a refused request first asked, as far as it is known.
  std::optional<timing::Instant> FirstAttempt(std::uint64_t aKey) const;

  /// Returns the latest own refusals for a peer report.
  std::vector<std::uint64_t> Recent(timing::Instant aNow) const;
  std::size_t Remembered() const { return mRefused.size(); }
  void Tick(timing::Instant aNow);

private:
  struct Refused
  {
    timing::Instant mFirst{};
    timing::Instant mRefusedAt{};
  };
  struct Own
  {
    std::uint64_t mKey{ 0 };
    timing::Instant mRefusedAt{};
  };

  std::unordered_map<std::uint64_t, Refused> mRefused;
  /// Own refusals, the latest last.
  std::deque<Own> mOwn;
};

}

#endif
