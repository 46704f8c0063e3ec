#include <catch2/catch.hpp>

#include "apps/tests/gateway/trafficcontrolfixture.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;
using namespace samphiresail::gateway;
using namespace samphiresail::gateway::testing;
using Fixture = TrafficControlFixture;

// Guards against routes that open once no client account is left (review/8).
TEST_CASE_METHOD(
  Fixture,
  "control: where the last account was removed no request gets in without a public route",
  "[gateway][must-hold]")
{
  mControl.mKeyRequirement.OnVersion({ 5, 5, AccountsStated::Some });
  mControl.mKeyRequirement.OnVersion({ 9, 5, AccountsStated::None });
  mControl.mKeyRequirement.OnHistory(5, 9);
  auto emptied = Configuration();
  emptied->mAccounts.clear();
  emptied->mRoutes.back().mPublic = true;
  emptied->Index();
  mControl.SetConfiguration(emptied, kNow);
  RequestMetadata request = Metadata();
  for (const char* key : { "key", "foreign", "" }) {
    CAPTURE(key);
    request.mKey = key;
    CHECK(Refuse(request).mStatus == 401);
    // The keys may be back in a version that is not known yet.
    CHECK(Refuse(request, kNow + 3s).mStatus == 503);
    CHECK(Refuse(request, kNow + 60s).mStatus == 503);
  }
  request = Metadata("/digest/1");
  CHECK(Admit(request).mAccount == nullptr);
  CHECK(std::holds_alternative<Admission>(mControl.Admit(request, kNow + 60s)));
}

TEST_CASE_METHOD(Fixture,
                 "control: where no version held accounts no request needs a key, also "
                 "without news of the store",
                 "[gateway]")
{
  auto open = Configuration();
  open->mAccounts.clear();
  open->Index();
  mControl.SetConfiguration(open, kNow);
  mControl.mKeyRequirement.OnVersion({ 5, 5, AccountsStated::None });
  RequestMetadata request = Metadata();
  request.mKey.clear();
  CHECK(Admit(request).mAccount == nullptr);
  CHECK(std::holds_alternative<Admission>(mControl.Admit(request, kNow + 60s)));
}

// Guards against 401 for good where an entry only does not know whether keys are needed.
TEST_CASE_METHOD(Fixture,
                 "control: where versions were missed that may have held accounts "
                 "requests are refused for now",
                 "[gateway]")
{
  auto unknown = Configuration();
  unknown->mAccounts.clear();
  unknown->Index();
  mControl.SetConfiguration(unknown, kNow);
  mControl.mKeyRequirement.OnVersion({ 9, 5, AccountsStated::None });
  const Refusal refusal = Refuse(Metadata());
  CHECK(refusal.mStatus == 503);
  CHECK(refusal.mRetryAfter);
  mControl.mKeyRequirement.SetNoAccountsRecorded(9);
  CHECK(std::holds_alternative<Admission>(mControl.Admit(Metadata(), kNow)));
}
