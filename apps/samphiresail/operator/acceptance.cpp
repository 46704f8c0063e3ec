#include "apps/samphiresail/operator/acceptance.hpp"

#include <algorithm>
#include <optional>
#include <thread>

#include "apps/samphiresail/operator/fleetdirectory.hpp"

namespace samphiresail::operators {

namespace {

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kAnswerTimeout{ 400 };
constexpr milliseconds kPollInterval{ 100 };

void AskFreshness(wire::Envelope& aEnvelope, std::uint64_t aNonce)
{
  aEnvelope.mutable_freshness()->set_nonce(aNonce);
  aEnvelope.mutable_freshness()->set_poll(true);
}

milliseconds Since(SteadyClock::time_point aBegin)
{
  return std::chrono::duration_cast<milliseconds>(SteadyClock::now() - aBegin);
}

}

Acknowledgements CountAcknowledgements(const membership::Roster& aRoster,
                                       const FleetClient::Answers& aAnswers,
                                       units::Version aVersion)
{
  const auto holds = [&](const membership::Member& aMember) {
    const auto it = aAnswers.find(aMember.mAddress);
    return it != aAnswers.end() && it->second.has_freshness_reply() &&
           it->second.sender_incarnation() == aMember.mIncarnation.Count() &&
           it->second.freshness_reply().configuration_version() >= aVersion.Count();
  };
  const std::vector<membership::Member> electors = membership::Electors(aRoster);
  return { .mElectors = electors.size(),
           .mHolding = static_cast<std::size_t>(std::ranges::count_if(electors, holds)),
           .mAccepted =
             !aRoster.mMembers.empty() && membership::HasQuorum(aRoster, holds) };
}

AcceptanceResult AwaitAcceptance(store::EtcdStore& aStore,
                                 const settings::CurveSettings& aCurve,
                                 units::Version aVersion,
                                 milliseconds aStoreTimeout,
                                 milliseconds aTimeout)
{
  FleetClient client(aCurve);
  AcceptanceResult result;
  const SteadyClock::time_point begin = SteadyClock::now();
  while (true) {
    const std::optional<FleetDirectory> fleet = ReadFleetDirectory(aStore, aStoreTimeout);
    if (fleet) {
      result.mNoEntries = fleet->mEntries.empty() && fleet->mRoster.mMembers.empty();
      const FleetClient::Answers answers =
        client.Ask(fleet->ElectorAddresses(), AskFreshness, kAnswerTimeout);
      result.mLast = CountAcknowledgements(fleet->mRoster, answers, aVersion);
    }
    result.mElapsed = Since(begin);
    result.mAccepted = result.mNoEntries || result.mLast.mAccepted;
    if (result.mAccepted || result.mElapsed >= aTimeout) {
      return result;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}
