#include "components/gateway/peercodec.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "components/gateway/quarantineverdict.hpp"
#include "components/wire/generated/samphiresail.pb.h"

namespace samphiresail::gateway {

namespace {

std::chrono::milliseconds AgeFrom(std::uint32_t aMilliseconds)
{
  return std::chrono::milliseconds(aMilliseconds);
}

/// Largest number of requests at an engine, of engines in demand and of cores.
constexpr double kMaxAmount = 1e6;
/// Largest number of recent responses of an endpoint.
constexpr double kMaxOutcomes = 1e5;
constexpr Milliseconds kMaxUnread = std::chrono::hours(24);
/// Tokens that an entry may admit in its lifetime. A double counts them exactly.
constexpr double kMaxAdmittedTokens = 1e15;
/// Longest time for which an entry awaits records that a restore of the store lost.
constexpr std::chrono::milliseconds kMaxRewriteLeft = std::chrono::seconds(10);
/// Latest time since the Unix epoch with which is reckoned.
constexpr std::chrono::milliseconds kMaxTrueTime = std::chrono::hours(24 * 365 * 200);
/// Requests that an entry may run in one window. Sums over a fleet do not overflow.
constexpr std::uint64_t kMaxUsage = 1'000'000'000'000;

/// True if the number is finite and no farther from 0 than aMax.
bool IsWithin(double aNumber, double aMax)
{
  return std::isfinite(aNumber) && std::abs(aNumber) <= aMax;
}

/// Outcomes travel as whole eighths of a response, which take a byte or two.
constexpr double kOutcomeUnits = 8.0;

std::uint32_t ToEighths(double aOutcomes)
{
  return static_cast<std::uint32_t>(
    std::lround(std::clamp(aOutcomes, 0.0, kMaxOutcomes) * kOutcomeUnits));
}

double FromEighths(std::uint32_t aEighths)
{
  return std::min(aEighths / kOutcomeUnits, kMaxOutcomes);
}

/// True if all numbers of a report can be reckoned with.
bool HasSoundNumbers(const wire::PeerLoad& aLoad)
{
  return std::ranges::all_of(aLoad.in_flight(),
                             [](const auto& aItem) {
                               return IsWithin(aItem.unread_ms(), kMaxUnread.count()) &&
                                      aItem.count() <= kMaxAmount;
                             }) &&
         std::ranges::all_of(aLoad.admitted(),
                             [](const auto& aItem) {
                               return IsWithin(aItem.total(), kMaxAdmittedTokens);
                             }) &&
         std::ranges::all_of(aLoad.model_demand(), [](const auto& aItem) {
           return IsWithin(aItem.rate(), kMaxAmount);
         });
}

void EncodeFindings(const CrashFindings& aFindings, wire::PeerLoad& aLoad)
{
  for (const ReportedCrash& crash : aFindings.mCrashes) {
    auto* item = aLoad.add_engine_crash();
    item->set_endpoint(crash.mEndpointHash);
    item->set_age_ms(static_cast<std::uint32_t>(crash.mAge.count()));
    for (const Suspect& suspect : crash.mSuspects) {
      item->add_part(suspect.mCause);
      item->add_request(suspect.mRequest);
    }
  }
  for (const ReportedSound& sound : aFindings.mSound) {
    auto* item = aLoad.add_sound_part();
    item->set_part(sound.mCause);
    item->set_age_ms(static_cast<std::uint32_t>(sound.mAge.count()));
  }
  for (const ReportedVerdict& verdict : aFindings.mVerdicts) {
    if (verdict.mCauses.size() == 1) {
      aLoad.add_quarantined(verdict.mCauses.front());
    } else {
      auto* item = aLoad.add_verdict();
      item->mutable_cause()->Add(verdict.mCauses.begin(), verdict.mCauses.end());
    }
  }
  for (const ReportedTest& test : aFindings.mTests) {
    auto* item = aLoad.add_cause_test();
    item->mutable_cause()->Add(test.mCauses.begin(), test.mCauses.end());
    item->set_age_ms(static_cast<std::uint32_t>(test.mAge.count()));
    item->set_full(test.mFull);
    item->set_not_run(test.mNotRun);
  }
}

/// Returns the causes of a verdict or test; none if it has more than a verdict can have.
template<typename Message>
CrashEvidence::Causes CausesFrom(const Message& aMessage)
{
  if (aMessage.cause_size() > static_cast<int>(CrashEvidence::kMaxCausesOfVerdict)) {
    return {};
  }
  return SortedCauses({ aMessage.cause().begin(), aMessage.cause().end() });
}

CrashFindings DecodeFindings(const wire::PeerLoad& aLoad)
{
  CrashFindings findings;
  for (const auto& item : aLoad.engine_crash()) {
    ReportedCrash crash{ item.endpoint(), AgeFrom(item.age_ms()), {} };
    for (int i = 0; i < std::min(item.part_size(), item.request_size()); ++i) {
      crash.mSuspects.push_back({ item.part(i), item.request(i) });
    }
    findings.mCrashes.push_back(std::move(crash));
  }
  for (const auto& item : aLoad.sound_part()) {
    findings.mSound.push_back({ item.part(), AgeFrom(item.age_ms()) });
  }
  for (const std::uint64_t cause : aLoad.quarantined()) {
    findings.mVerdicts.push_back({ { cause } });
  }
  for (const auto& item : aLoad.verdict()) {
    CrashEvidence::Causes causes = CausesFrom(item);
    if (!causes.empty()) {
      findings.mVerdicts.push_back({ std::move(causes) });
    }
  }
  for (const auto& item : aLoad.cause_test()) {
    findings.mTests.push_back(
      { CausesFrom(item), item.full(), item.not_run(), AgeFrom(item.age_ms()) });
  }
  return findings;
}

void EncodeUsage(const PeerReport& aReport, wire::PeerLoad& aLoad)
{
  aLoad.set_true_time_ms(aReport.mTrueTime.count());
  aLoad.set_usage_complete_before(aReport.mUsage.mCompleteBefore);
  for (const duties::UsageRow& row : aReport.mUsage.mRows) {
    auto* item = aLoad.add_usage();
    item->set_process(row.mProcess.Str());
    item->set_incarnation(row.mIncarnation);
    item->set_window(row.mWindow);
    item->set_total(row.mTotal);
    for (const auto& [account, count] : row.mCounts) {
      auto* pair = item->add_counts();
      pair->set_account(account);
      pair->set_count(count);
    }
  }
}

void DecodeUsage(const wire::PeerLoad& aLoad, PeerReport& aReport)
{
  aReport.mTrueTime = std::chrono::milliseconds(
    std::clamp<std::int64_t>(aLoad.true_time_ms(), 0, kMaxTrueTime.count()));
  aReport.mUsage.mCompleteBefore = aLoad.usage_complete_before();
  for (const auto& item : aLoad.usage()) {
    duties::UsageRow row{ ids::ProcessId(item.process()),
                          item.incarnation(),
                          item.window(),
                          std::min(item.total(), kMaxUsage),
                          {} };
    for (const auto& pair : item.counts()) {
      row.mCounts[pair.account()] = std::min(pair.count(), kMaxUsage);
    }
    aReport.mUsage.mRows.push_back(std::move(row));
  }
}

}

std::string EncodePeerReport(const PeerReport& aReport)
{
  wire::PeerLoad load;
  load.set_process(aReport.mProcess.Str());
  load.set_incarnation(aReport.mIncarnation);
  load.set_number(aReport.mSequence);
  load.set_configuration_version(aReport.mConfigurationVersion);
  load.set_rewrite_left_ms(static_cast<std::uint32_t>(aReport.mRewriteLeft.count()));
  load.set_hears_all(aReport.mReceivesFromAll);
  load.set_zone(aReport.mZone.Str());
  for (const std::uint64_t key : aReport.mCovered) {
    load.add_covered(key);
  }
  load.set_forwarded(aReport.mForwarded);
  load.set_notice(aReport.mNotice);
  load.set_waits(!aReport.mAwaitedAdapters.empty());
  for (const std::uint64_t key : aReport.mAwaitedAdapters) {
    load.add_awaited(key);
  }
  for (const std::uint64_t key : aReport.mRefused) {
    load.add_refused(key);
  }
  for (const auto& [key, engineLoad] : aReport.mInFlight) {
    auto* item = load.add_in_flight();
    item->set_key(key);
    item->set_count(engineLoad.mRequests);
    item->set_unread_ms(static_cast<float>(engineLoad.mUnread.count()));
    item->set_memory_tokens(static_cast<std::uint32_t>(engineLoad.mMemoryTokens));
    const auto outcomes = aReport.mOutcomes.find(key);
    if (outcomes != aReport.mOutcomes.end()) {
      item->set_ended_eighths(ToEighths(outcomes->second.mEnded));
      item->set_late_eighths(ToEighths(outcomes->second.mLate));
    }
  }
  for (const auto& [key, total] : aReport.mAdmitted) {
    auto* item = load.add_admitted();
    item->set_key(key);
    item->set_total(total);
  }
  for (const auto& [key, rate] : aReport.mModelDemand) {
    auto* item = load.add_model_demand();
    item->set_key(key);
    item->set_rate(static_cast<float>(rate));
  }
  for (const LoadedAdapter& loaded : aReport.mLoadedAdapters) {
    auto* item = load.add_loaded();
    item->set_endpoint(loaded.mEndpointHash);
    item->set_key(loaded.mModelAdapterHash);
  }
  EncodeFindings(aReport.mFindings, load);
  EncodeUsage(aReport, load);
  return load.SerializeAsString();
}

std::optional<PeerReport> DecodePeerReport(std::string_view aBytes)
{
  wire::PeerLoad load;
  if (!load.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size())) ||
      load.process().empty() || !HasSoundNumbers(load)) {
    return std::nullopt;
  }
  PeerReport report;
  report.mProcess = ids::ProcessId(load.process());
  report.mIncarnation = load.incarnation();
  report.mConfigurationVersion = load.configuration_version();
  report.mRewriteLeft = std::min(AgeFrom(load.rewrite_left_ms()), kMaxRewriteLeft);
  report.mSequence = load.number();
  report.mReceivesFromAll = load.hears_all();
  report.mZone = ids::AvailabilityZoneId(load.zone());
  report.mCovered.assign(load.covered().begin(), load.covered().end());
  report.mForwarded = load.forwarded();
  report.mNotice = load.notice();
  report.mAwaitedAdapters.assign(load.awaited().begin(), load.awaited().end());
  report.mRefused.assign(load.refused().begin(), load.refused().end());
  for (const auto& item : load.in_flight()) {
    report.mInFlight.emplace(item.key(),
                             EngineLoad{ item.count(),
                                         Milliseconds(std::max(item.unread_ms(), 0.0F)),
                                         static_cast<double>(item.memory_tokens()) });
    if (item.ended_eighths() > 0) {
      report.mOutcomes.emplace(item.key(),
                               EndpointOutcomes{ FromEighths(item.ended_eighths()),
                                                 FromEighths(item.late_eighths()) });
    }
  }
  for (const auto& item : load.admitted()) {
    report.mAdmitted.emplace(item.key(), item.total());
  }
  for (const auto& item : load.model_demand()) {
    report.mModelDemand.emplace(item.key(), std::max(item.rate(), 0.0F));
  }
  for (const auto& item : load.loaded()) {
    report.mLoadedAdapters.push_back({ item.endpoint(), item.key() });
  }
  report.mFindings = DecodeFindings(load);
  DecodeUsage(load, report);
  return report;
}

std::string MarkForwarded(std::string_view aBytes)
{
  // Fields that are appended to an encoded message replace earlier ones.
  wire::PeerLoad mark;
  mark.set_forwarded(true);
  return std::string(aBytes) + mark.SerializeAsString();
}

std::string EncodeMember(const MemberRecord& aMember)
{
  wire::EntryRecord record;
  record.set_name(aMember.mProcess.Str());
  record.set_address(aMember.mAddress.mHost + ":" +
                     std::to_string(aMember.mAddress.mPort));
  record.set_cores(aMember.mCores);
  record.set_availability_zone(aMember.mZone.Str());
  return record.SerializeAsString();
}

std::optional<MemberRecord> DecodeMember(const std::string& aBytes)
{
  wire::EntryRecord record;
  if (!record.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  const auto address = settings::ParseSocketAddress(record.address());
  if (!address || address->mPort == 0 || record.name().empty() ||
      !IsWithin(record.cores(), kMaxAmount) || record.cores() < 0.0) {
    return std::nullopt;
  }
  return MemberRecord{ ids::ProcessId(record.name()),
                       *address,
                       record.cores(),
                       ids::AvailabilityZoneId(record.availability_zone()) };
}

}
