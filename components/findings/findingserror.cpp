#include "components/findings/findingserror.hpp"

#include <numeric>
#include <string>
#include <utility>

namespace samphiresail::findings {

namespace {

std::string JoinDescriptions(const std::vector<Finding>& aFindings)
{
  return std::accumulate(aFindings.begin(),
                         aFindings.end(),
                         std::string(),
                         [](std::string aText, const Finding& aFinding) {
                           if (!aText.empty()) {
                             aText += '\n';
                           }
                           return aText + Describe(aFinding);
                         });
}

}

FindingsError::FindingsError(std::vector<Finding> aFindings)
  : std::runtime_error(JoinDescriptions(aFindings))
  , mFindings(std::move(aFindings))
{
}

}
