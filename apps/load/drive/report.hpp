#ifndef SAMPHIRESAIL_APPS_LOAD_DRIVE_REPORT_HPP
#define SAMPHIRESAIL_APPS_LOAD_DRIVE_REPORT_HPP

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "apps/load/drive/driver.hpp"

namespace samphiresail::load {

/// Limits within which an answer counts as attained.
struct AttainmentLimits
{
  double mFirstTokenMs{ 550.0 };
  double mBetweenTokensMs{ 44.0 };
  double mShortMs{ 2000.0 };
  double mBatchMs{ 60000.0 };
};

struct Tally
{
  std::size_t mRequests{ 0 };
  std::size_t mAttained{ 0 };
  std::size_t mAnswered{ 0 };
  std::size_t mRateRefused{ 0 };
  std::size_t mNotRun{ 0 };
  std::size_t mFailed{ 0 };
  std::vector<double> mFirstMs;

  double Attainment() const;
  double FirstPercentile(double aShare) const;
};

/// Figures of one run; what an account sends beyond its part is counted apart.
struct Report
{
  std::map<std::string, Tally> mByClass;
  std::map<std::string, Tally> mByAccount;
  Tally mAll;
  Tally mExcess;
  /// Attained requests in each second of the run, over the requests of that second.
  std::vector<Tally> mBySecond;
  /// Number of failed requests by the start of the answer.
  std::map<std::string, std::size_t> mErrors;
};

Report MakeReport(const std::vector<PlannedRequest>& aPlan,
                  const std::vector<Measured>& aMeasured,
                  const AttainmentLimits& aLimits);

void PrintReport(const Report& aReport, const std::string& aLabel);

/// Writes one row for each class, account and second.
void WriteCsv(const Report& aReport, const std::string& aLabel, const std::string& aPath);

/// Writes the attainment over time and by class as a picture.
void WriteSvg(const Report& aReport, const std::string& aLabel, const std::string& aPath);

}

#endif
