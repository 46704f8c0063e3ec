#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>

#include <unistd.h>

#include "platform/settings.hpp"

using namespace samphiresail;
using namespace std::chrono_literals;

namespace {

/// File that is deleted at the end of the test.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText)
    : mPath("settingstest-" + std::to_string(getpid()) + ".toml")
  {
    std::ofstream(mPath) << aText;
  }
  ~TemporaryFile() { std::remove(mPath.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string mPath;
};

const std::string kText = R"(nodeName = "front-a-1"
ip = "10.1.0.25"
zone = "z-a"
portRange = [7600,7615]
bootstrap = true
newThing = 3
[listen]
front = "10.1.0.25:8221"
readyAddr = "10.1.0.25:8224"
[limits]
maxFds = 4100
cpuShare = 0.19
cores = 2
[bounds]
graceS = 8
leaseMs = 3000
configApplyMs = 3500
revokeMs = 4500
drainMs = 2500
budgetRatio = 0.2
budgetSlack = 56
quotaOverage = 0.1
coldOverage = 1.5
[platform]
address = "10.200.1.7:8225"
)";

}

TEST_CASE("settings: the settings file of a process is read", "[platform]")
{
  const TemporaryFile file(kText);
  const platform::Settings settings = platform::LoadSettings(file.mPath);
  CHECK(settings.mConfigurationTime == 3500ms);
  CHECK(settings.mRevocationTime == 4500ms);
  CHECK(settings.mDrainTime == 2500ms);
  CHECK(settings.mEvacuationTime == 5000ms);
  CHECK(settings.mName.Str() == "front-a-1");
  CHECK(settings.mCores == Approx(0.38));
  CHECK(settings.mZone.Str() == "z-a");
  CHECK(settings.mCallerListenAddress.mPort == 8221);
  CHECK(settings.mStoreAddress.mHost == "10.200.1.7");
  CHECK(settings.mFirstPeerPort == 7600);
  CHECK(settings.mFirstStart);
  CHECK(settings.mStopGracePeriod == 8s);
  CHECK(settings.mRetryBudgetSlack == 56);
  CHECK(settings.mColdOverage == 1.5);
}

TEST_CASE("settings: the error names an invalid field", "[platform]")
{
  std::string text = kText;
  text.replace(text.find("10.1.0.25:8224"), 14, "nowhere");
  const TemporaryFile file(text);
  CHECK_THROWS_WITH(platform::LoadSettings(file.mPath),
                    Catch::Matchers::Contains("readyAddr"));
}

TEST_CASE("settings: a number or port out of range is an error that names its field",
          "[platform]")
{
  const auto [sound, odd, field] = GENERATE(table<std::string, std::string, std::string>(
    { { "[7600,7615]", "[0,7615]", "portRange" },
      { "[7600,7615]", "[7600,70000]", "portRange" },
      { "[7600,7615]", "[-1,7615]", "portRange" },
      { "0.25:8221", "0.25:0", "front" },
      { "1.7:8225", "1.7:0", "address" },
      { "maxFds = 4100", "maxFds = -1", "maxFds" },
      { "maxFds = 4100", "maxFds = 1e300", "maxFds" },
      { "cpuShare = 0.19", "cpuShare = nan", "cpuShare" },
      { "graceS = 8", "graceS = 1e300", "graceS" },
      { "graceS = 8", "graceS = -8", "graceS" },
      { "leaseMs = 3000", "leaseMs = inf", "leaseMs" },
      { "leaseMs = 3000", "leaseMs = 9223372036854775807", "leaseMs" },
      { "budgetRatio = 0.2", "budgetRatio = nan", "budgetRatio" },
      { "quotaOverage = 0.1", "quotaOverage = -0.1", "quotaOverage" } }));
  std::string text = kText;
  text.replace(text.find(sound), sound.size(), odd);
  CAPTURE(odd);
  const TemporaryFile file(text);
  CHECK_THROWS_WITH(platform::LoadSettings(file.mPath),
                    Catch::Matchers::Contains(field + ":"));
}

// Guards against an operator who mends one field after the other.
// Guards against limits that hold no request back, since their window has no length.
TEST_CASE("settings: a window of no length is an error", "[platform]")
{
  for (const char* field : { "budgetWindowS", "quotaWindowS" }) {
    for (const char* value : { "0", "0.0", "0.0004" }) {
      CAPTURE(field, value);
      std::string text = kText;
      text.replace(text.find("graceS = 8"),
                   std::string("graceS = 8").size(),
                   std::string(field) + " = " + value);
      const TemporaryFile file(text);
      CHECK_THROWS_WITH(platform::LoadSettings(file.mPath),
                        Catch::Matchers::Contains(field));
    }
  }
}

TEST_CASE("settings: one error names all invalid and missing fields", "[platform]")
{
  std::string text = kText;
  for (const auto& [sound, odd] : std::vector<std::pair<std::string, std::string>>{
         { "nodeName =", "node =" },
         { "0.25:8224", "nowhere" },
         { "[7600,7615]", "[7600]" },
         { "maxFds = 4100", "maxFds = -1" },
         { "graceS = 8", "graceS = \"8\"" },
         { "budgetRatio = 0.2", "budgetRatio = nan" },
         { "[platform]", "[plat]" } }) {
    text.replace(text.find(sound), sound.size(), odd);
  }
  const TemporaryFile file(text);
  try {
    platform::LoadSettings(file.mPath);
    FAIL("the file was read");
  } catch (const platform::SettingsError& error) {
    CHECK(error.All().size() == 7);
    for (const char* field : { "nodeName",
                               "readyAddr",
                               "portRange",
                               "maxFds",
                               "graceS",
                               "budgetRatio",
                               "address" }) {
      CHECK_THAT(error.what(), Catch::Matchers::Contains(field));
    }
  }
}

TEST_CASE("settings: a value in place of a table is one error", "[platform]")
{
  std::string text = kText;
  text.replace(text.find("[bounds]"), 8, "[other]");
  const TemporaryFile file("bounds = 3\n" + text);
  CHECK_THROWS_WITH(
    platform::LoadSettings(file.mPath),
    Catch::Matchers::EndsWith(file.mPath + ": bounds: the value is not a table"));
}

TEST_CASE("settings: a file that is nested deeply is an error", "[platform]")
{
  const TemporaryFile file("newer = " + std::string(300'000, '[') +
                           std::string(300'000, ']') + "\n" + kText);
  CHECK_THROWS_WITH(platform::LoadSettings(file.mPath),
                    Catch::Matchers::Contains("nested"));
}

TEST_CASE("settings: the table of duties is read; without it there are none",
          "[platform]")
{
  CHECK_FALSE([] {
    const TemporaryFile file(kText);
    return platform::LoadSettings(file.mPath).mCloudApi;
  }());
  const auto [duties, reports] =
    GENERATE(table<std::string, bool>({ { R"(["autoscale","usage_report"])", true },
                                        { R"(["autoscale"])", false },
                                        { "[]", false } }));
  std::string text = kText +
                     "[cloudApi]\naddress = \"10.200.1.8:9000\"\nratePerS = 20\n" +
                     "dutiesPerS = 2.5\nduties = " + duties + "\n";
  text.replace(text.find("graceS = 8"),
               10,
               "reportWindowS = 4\nusageLateS = 12\nusageTolerance = 0.1");
  const TemporaryFile file(text);
  const platform::Settings settings = platform::LoadSettings(file.mPath);
  REQUIRE(settings.mCloudApi);
  CHECK(settings.mCloudApi->mAddress.mPort == 9000);
  CHECK(settings.mCloudApi->mReportsUsage == reports);
  CHECK(settings.mCloudApi->mRate == 20);
  CHECK(settings.mCloudApi->mDutyRate == 2.5);
  CHECK(settings.mReportWindow == 4s);
  CHECK(settings.mReportLate == 12s);
  CHECK(settings.mReportTolerance == 0.1);
}

TEST_CASE("settings: one error names all faults", "[platform]")
{
  std::string text = kText + "[cloudApi]\naddress = \"nowhere\"\nratePerS = -1\n"
                             "dutiesPerS = nan\nduties = \"usage_report\"\n";
  text.replace(text.find("graceS = 8"),
               10,
               "graceS = -8\nreportWindowS = 0\nusageLateS = 0.5\nusageTolerance = 2");
  text.replace(text.find("10.1.0.25:8224"), 14, "nowhere");
  const TemporaryFile file(text);
  std::string error;
  try {
    platform::LoadSettings(file.mPath);
  } catch (const std::runtime_error& thrown) {
    error = thrown.what();
  }
  for (const char* field : { "graceS",
                             "readyAddr",
                             "address",
                             "ratePerS",
                             "dutiesPerS",
                             "duties",
                             "reportWindowS",
                             "usageLateS",
                             "usageTolerance" }) {
    CAPTURE(field, error);
    CHECK(error.find(field) != std::string::npos);
  }
}
