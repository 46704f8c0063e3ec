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
  contact.Confirm(kNow, kNow);
  CHECK(contact.KeysTrusted(kNow + 3900ms));
  CHECK_FALSE(contact.KeysTrusted(kNow + 4s));
  CHECK_FALSE(contact.Ready(kNow + 3s));
}

TEST_CASE("contact: an answer counts from when its call was sent", "[gateway]")
{
  StoreContact contact;
  // The process was suspended while the answer waited in the socket.
  contact.Confirm(kNow, kNow + 10s);
  CHECK_FALSE(contact.KeysTrusted(kNow + 10s));
}

TEST_CASE("contact: records that vanish just after an outage may have lapsed",
          "[gateway]")
{
  StoreContact contact;
  contact.Confirm(kNow, kNow);
  CHECK_FALSE(contact.AfterOutage(kNow + 1s));
  CHECK(contact.AfterOutage(kNow + 3s));
  contact.Confirm(kNow + 5s, kNow + 5s);
  CHECK(contact.AfterOutage(kNow + 6s));
  contact.Confirm(kNow + 6s, kNow + 6s);
  contact.Confirm(kNow + 8s, kNow + 8s);
  CHECK_FALSE(contact.AfterOutage(kNow + 8100ms));
}
