#include <catch2/catch.hpp>

#include "apps/samphiresail/operator/acceptance.hpp"

namespace {

using namespace samphiresail;
using operators::CountAcknowledgements;
using operators::FleetClient;

wire::RosterRecord MakeRoster(int aMembers)
{
  wire::RosterRecord roster;
  for (int i = 1; i <= aMembers; ++i) {
    wire::RosterMember* member = roster.add_members();
    member->set_address("10.0.0." + std::to_string(i) + ":1");
    member->set_incarnation(static_cast<std::uint64_t>(i));
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
  const wire::RosterRecord roster = MakeRoster(3);
  const units::Version version(5);
  FleetClient::Answers answers{ { "10.0.0.1:1", MakeAnswer(1, 5) } };
  CHECK_FALSE(CountAcknowledgements(roster, answers, version).Accepted());

  answers["10.0.0.2:1"] = MakeAnswer(2, 4);
  CHECK_FALSE(CountAcknowledgements(roster, answers, version).Accepted());

  answers["10.0.0.2:1"] = MakeAnswer(9, 5);
  CHECK_FALSE(CountAcknowledgements(roster, answers, version).Accepted());

  answers["10.0.0.9:1"] = MakeAnswer(2, 5);
  CHECK_FALSE(CountAcknowledgements(roster, answers, version).Accepted());

  answers["10.0.0.2:1"] = MakeAnswer(2, 6);
  CHECK(CountAcknowledgements(roster, answers, version).Accepted());
}

TEST_CASE("nothing is accepted by an empty roster")
{
  CHECK_FALSE(CountAcknowledgements(MakeRoster(0), {}, units::Version(1)).Accepted());
  const FleetClient::Answers half{ { "10.0.0.1:1", MakeAnswer(1, 1) } };
  CHECK_FALSE(CountAcknowledgements(MakeRoster(2), half, units::Version(1)).Accepted());
}
