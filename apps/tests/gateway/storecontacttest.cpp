#include <catch2/catch.hpp>

#include "components/gateway/storecontact.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using gateway::StoreContact;

namespace {

const timing::Instant kNow{ 1h };

}

TEST_CASE("contact: without news of the store keys are not trusted for long", "[gateway]")
{
  StoreContact contact;
  CHECK_FALSE(contact.KeysTrusted(kNow));
  contact.Confirm(kNow);
  CHECK(contact.KeysTrusted(kNow + 3900ms));
  CHECK_FALSE(contact.KeysTrusted(kNow + 4s));
  CHECK_FALSE(contact.Ready(kNow + 3s));
}

TEST_CASE("contact: an answer counts from when its call was sent", "[gateway]")
{
  StoreContact contact;
  // The process was suspended while the answer waited in the socket.
  contact.Answered(kNow + 10s, kNow + 10s);
  contact.Confirm(kNow);
  CHECK_FALSE(contact.KeysTrusted(kNow + 10s));
}

TEST_CASE("contact: records that vanish just after an outage may have lapsed",
          "[gateway]")
{
  StoreContact contact;
  const auto answer = [&contact](timing::Instant aAt) {
    contact.Answered(aAt, aAt);
    contact.Confirm(aAt);
  };
  answer(kNow);
  CHECK_FALSE(contact.AfterOutage(kNow + 1s));
  CHECK(contact.AfterOutage(kNow + 3s));
  answer(kNow + 5s);
  CHECK(contact.AfterOutage(kNow + 6s));
  answer(kNow + 6s);
  answer(kNow + 8s);
  CHECK_FALSE(contact.AfterOutage(kNow + 8100ms));
}

TEST_CASE("contact: a long answer over a slow link is no outage", "[gateway]")
{
  StoreContact contact;
  contact.Answered(kNow, kNow);
  contact.Confirm(kNow - 100ms);
  // Sent after a pause, answered at once, and read a second later.
  contact.Answered(kNow + 1s, kNow + 2500ms);
  CHECK_FALSE(contact.AfterOutage(kNow + 2500ms));
  contact.Confirm(kNow + 1s);
  contact.Answered(kNow + 3500ms, kNow + 5s);
  CHECK_FALSE(contact.AfterOutage(kNow + 5s));
}
