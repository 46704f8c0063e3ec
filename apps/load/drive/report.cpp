#include "apps/load/drive/report.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>

#include "components/catalogue/configurationcodec.hpp"

namespace samphiresail::load {

namespace {

bool Attained(const PlannedRequest& aPlanned,
              const Measured& aMeasured,
              const AttainmentLimits& aLimits)
{
  if (aMeasured.mOutcome != Outcome::Answered) {
    return false;
  }
  if (aPlanned.mStream) {
    const double rest = aMeasured.mTotalMs - aMeasured.mFirstMs;
    const auto gaps = static_cast<double>(std::max<std::size_t>(aMeasured.mTokens, 1));
    return aMeasured.mFirstMs <= aLimits.mFirstTokenMs &&
           rest / gaps <= aLimits.mBetweenTokensMs;
  }
  const bool batch = aPlanned.mClass == catalogue::RequestClass::Batch;
  return aMeasured.mTotalMs <= (batch ? aLimits.mBatchMs : aLimits.mShortMs);
}

/// Cuts the identifier of the request, so that like errors count together.
std::string WithoutRequest(const std::string& aError)
{
  const auto at = aError.find("\"request_id\"");
  const auto end = aError.find(',', at);
  if (at == std::string::npos || end == std::string::npos) {
    return aError;
  }
  return aError.substr(0, at) + aError.substr(end + 1);
}

void Count(Tally& aTally, const Measured& aMeasured, bool aAttained)
{
  ++aTally.mRequests;
  aTally.mAttained += aAttained ? 1 : 0;
  switch (aMeasured.mOutcome) {
    case Outcome::Answered:
      ++aTally.mAnswered;
      aTally.mFirstMs.push_back(aMeasured.mFirstMs);
      break;
    case Outcome::RateRefused:
      ++aTally.mRateRefused;
      break;
    case Outcome::NotRun:
      ++aTally.mNotRun;
      break;
    case Outcome::Failed:
      ++aTally.mFailed;
      break;
  }
}

void PrintTally(const std::string& aName, const Tally& aTally)
{
  std::printf("  %-22s requests %5zu attained %6.2f %% answered %5zu rate-refused %4zu "
              "not-run %4zu failed %4zu first p50 %.1f ms p99 %.1f ms\n",
              aName.c_str(),
              aTally.mRequests,
              100.0 * aTally.Attainment(),
              aTally.mAnswered,
              aTally.mRateRefused,
              aTally.mNotRun,
              aTally.mFailed,
              aTally.FirstPercentile(0.5),
              aTally.FirstPercentile(0.99));
}

void WriteRow(std::ofstream& aFile,
              const std::string& aLabel,
              const std::string& aKind,
              const std::string& aName,
              const Tally& aTally)
{
  aFile << aLabel << ',' << aKind << ',' << aName << ',' << aTally.mRequests << ','
        << aTally.mAttained << ',' << aTally.mAnswered << ',' << aTally.mRateRefused
        << ',' << aTally.mNotRun << ',' << aTally.mFailed << ','
        << aTally.FirstPercentile(0.5) << ',' << aTally.FirstPercentile(0.99) << '\n';
}

}

double Tally::Attainment() const
{
  return mRequests == 0 ? 1.0
                        : static_cast<double>(mAttained) / static_cast<double>(mRequests);
}

double Tally::FirstPercentile(double aShare) const
{
  if (mFirstMs.empty()) {
    return 0.0;
  }
  auto sorted = mFirstMs;
  std::ranges::sort(sorted);
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(sorted.size() - 1));
  return sorted.at(index);
}

Report MakeReport(const std::vector<PlannedRequest>& aPlan,
                  const std::vector<Measured>& aMeasured,
                  const AttainmentLimits& aLimits)
{
  Report report;
  for (std::size_t it = 0; it < aPlan.size(); ++it) {
    const PlannedRequest& planned = aPlan.at(it);
    const Measured& measured = aMeasured.at(it);
    const bool attained = Attained(planned, measured, aLimits);
    if (measured.mOutcome != Outcome::Answered) {
      ++report.mErrors[std::to_string(measured.mStatus) + " " +
                       WithoutRequest(measured.mError)];
    }
    if (planned.mExcess) {
      Count(report.mExcess, measured, attained);
      continue;
    }
    const auto second = static_cast<std::size_t>(planned.mAt / std::chrono::seconds(1));
    report.mBySecond.resize(std::max(report.mBySecond.size(), second + 1));
    Count(report.mBySecond.at(second), measured, attained);
    Count(report.mAll, measured, attained);
    Count(report.mByClass[std::string(catalogue::ClassName(planned.mClass))],
          measured,
          attained);
    Count(report.mByAccount[planned.mAccount], measured, attained);
  }
  return report;
}

void PrintReport(const Report& aReport, const std::string& aLabel)
{
  std::printf("%s\n", aLabel.c_str());
  PrintTally("all", aReport.mAll);
  for (const auto& [name, tally] : aReport.mByClass) {
    PrintTally("class " + name, tally);
  }
  double worst = 1.0;
  double sum = 0.0;
  for (const auto& [name, tally] : aReport.mByAccount) {
    PrintTally("account " + name, tally);
    worst = std::min(worst, tally.Attainment());
    sum += tally.Attainment();
  }
  if (aReport.mExcess.mRequests > 0) {
    PrintTally("excess", aReport.mExcess);
  }
  const auto accounts =
    static_cast<double>(std::max<std::size_t>(aReport.mByAccount.size(), 1));
  std::printf("  worst-served account %.2f %%, mean of accounts %.2f %%\n",
              100.0 * worst,
              100.0 * sum / accounts);
  for (const auto& [error, count] : aReport.mErrors) {
    std::printf("  error %zu x %s\n", count, error.c_str());
  }
}

void WriteCsv(const Report& aReport, const std::string& aLabel, const std::string& aPath)
{
  const bool fresh = !std::ifstream(aPath).good();
  std::ofstream file(aPath, std::ios::app);
  if (fresh) {
    file << "run,kind,name,requests,attained,answered,rate_refused,not_run,failed,"
            "first_p50_ms,first_p99_ms\n";
  }
  WriteRow(file, aLabel, "all", "all", aReport.mAll);
  for (const auto& [name, tally] : aReport.mByClass) {
    WriteRow(file, aLabel, "class", name, tally);
  }
  for (const auto& [name, tally] : aReport.mByAccount) {
    WriteRow(file, aLabel, "account", name, tally);
  }
  for (std::size_t it = 0; it < aReport.mBySecond.size(); ++it) {
    WriteRow(file, aLabel, "second", std::to_string(it), aReport.mBySecond.at(it));
  }
}

void WriteSvg(const Report& aReport, const std::string& aLabel, const std::string& aPath)
{
  constexpr double kHeight = 200.0;
  constexpr double kStep = 12.0;
  const auto seconds = static_cast<double>(aReport.mBySecond.size());
  const double width = seconds * kStep + 80.0;
  std::ofstream file(aPath);
  file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width + 240.0
       << "\" height=\"" << kHeight + 60.0 << "\" font-family=\"sans-serif\" "
       << "font-size=\"11\">\n<text x=\"10\" y=\"14\">" << aLabel
       << ": attained share over seconds, and by class</text>\n"
       << "<polyline fill=\"none\" stroke=\"#1f5fa8\" points=\"";
  for (std::size_t it = 0; it < aReport.mBySecond.size(); ++it) {
    file << 20.0 + kStep * static_cast<double>(it) << ','
         << 30.0 + kHeight * (1.0 - aReport.mBySecond.at(it).Attainment()) << ' ';
  }
  file << "\"/>\n";
  double y = 40.0;
  for (const auto& [name, tally] : aReport.mByClass) {
    file << "<rect x=\"" << width << "\" y=\"" << y - 10.0 << "\" height=\"12\" width=\""
         << 100.0 * tally.Attainment() << "\" fill=\"#8fb8de\"/><text x=\"" << width
         << "\" y=\"" << y << "\">" << name << ' ' << 100.0 * tally.Attainment()
         << " %</text>\n";
    y += 20.0;
  }
  file << "</svg>\n";
}

}
