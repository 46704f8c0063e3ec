#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_STATUSTABLE_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_STATUSTABLE_HPP

#include <string>
#include <vector>

namespace samphiresail::operators {

/// Row of the status table: a registered process with its answer.
struct ProcessStatus
{
  std::string mRole;
  std::string mName;
  std::string mAvailabilityZone;
  std::string mAddress;
  /// JSON document of the process; empty if it did not answer.
  std::string mDocument;
};

/// Returns an aligned table with one row for each process. The plain values of the
/// documents follow as `key=value`, lists as their length.
std::string FormatStatusTable(const std::vector<ProcessStatus>& aProcesses);

/// Returns the same as one JSON document.
std::string FormatStatusJson(const std::vector<ProcessStatus>& aProcesses);

}

#endif
