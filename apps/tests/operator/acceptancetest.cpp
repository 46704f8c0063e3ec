#include <catch2/catch.hpp>

#include "apps/samphiresail/operator/acceptance.hpp"

namespace {

using namespace samphiresail;
using operators::CountAcknowledgements;
using operators::FleetClient;

membership::Member MakeMember(int aNumber)
{
  return { .mName = ids::ProcessId("e" + std::to_string(aNumber)),
           .mIncarnation = units::Incarnation(static_cast<std::uint64_t>(aNumber)),
           .mAddress = "10.0.0." + std::to_string(aNumber) + ":1" };
}

membership::Roster MakeRoster(int aMembers)
{
  membership::Roster roster{ .mAccepted = true };
  for (int i = 1; i <= aMembers; ++i) {
    roster.mMembers.push_back(MakeMember(i));
  }
  return roster;
}

wire::Envelope MakeAnswer(std::uint64_t aIncarnation, std::uint64_t aVersion)
{
  wire::Envelope answer;
  answer.set_sender_incarnation(aIncarnation);
  answer.mutable_freshness_reply()->set_configuration_version(aVersion);
  return answer;
}

}

TEST_CASE("configuration: accepted only by a majority of the roster's incarnations",
          "[must-hold]")
{
  const membership::Roster roster = MakeRoster(3);
  const units::Version version(5);
  FleetClient::Answers answers{ { "10.0.0.1:1", MakeAnswer(1, 5) } };
  CHECK_FALSE(CountAcknowledgements(roster, answers, version).mAccepted);

  answers["10.0.0.2:1"] = MakeAnswer(2, 4);
  CHECK_FALSE(CountAcknowledgements(roster, answers, version).mAccepted);

  answers["10.0.0.2:1"] = MakeAnswer(9, 5);
  CHECK_FALSE(CountAcknowledgements(roster, answers, version).mAccepted);

  answers["10.0.0.9:1"] = MakeAnswer(2, 5);
  CHECK_FALSE(CountAcknowledgements(roster, answers, version).mAccepted);

  answers["10.0.0.2:1"] = MakeAnswer(2, 6);
  CHECK(CountAcknowledgements(roster, answers, version).mAccepted);
}

TEST_CASE("nothing is accepted by an empty roster")
{
  CHECK_FALSE(CountAcknowledgements(MakeRoster(0), {}, units::Version(1)).mAccepted);
  const FleetClient::Answers half{ { "10.0.0.1:1", MakeAnswer(1, 1) } };
  CHECK_FALSE(CountAcknowledgements(MakeRoster(2), half, units::Version(1)).mAccepted);
}

TEST_CASE("configuration: accepted by both rosters while a roster is not accepted",
          "[must-hold]")
{
  membership::Roster roster = MakeRoster(3);
  roster.mPrevious = { MakeMember(1), MakeMember(4) };
  roster.mAccepted = false;
  FleetClient::Answers answers{ { "10.0.0.1:1", MakeAnswer(1, 5) },
                                { "10.0.0.2:1", MakeAnswer(2, 5) } };
  const units::Version version(5);
  CHECK_FALSE(CountAcknowledgements(roster, answers, version).mAccepted);
  answers["10.0.0.4:1"] = MakeAnswer(4, 5);
  CHECK(CountAcknowledgements(roster, answers, version).mAccepted);
  CHECK(CountAcknowledgements(roster, answers, version).mElectors == 4);
}
