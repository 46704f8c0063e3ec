#ifndef SAMPHIRESAIL_COMPONENTS_FINDINGS_FINDINGSERROR_HPP
#define SAMPHIRESAIL_COMPONENTS_FINDINGS_FINDINGSERROR_HPP

#include <stdexcept>
#include <vector>

#include "components/findings/findings.hpp"

namespace samphiresail::findings {

/// Thrown for a file with errors; what() lists all of them, one per line.
class FindingsError : public std::runtime_error
{
public:
  explicit FindingsError(std::vector<Finding> aFindings);

  const std::vector<Finding>& All() const { return mFindings; }

private:
  std::vector<Finding> mFindings;
};

}

#endif
