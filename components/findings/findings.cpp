#include "components/findings/findings.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "components/findings/findingserror.hpp"

namespace samphiresail::findings {

std::string Describe(const Finding& aFinding)
{
  const SourceLocation& location = aFinding.mLocation;
  return location.mFile + ":" + std::to_string(location.mLine) + ":" +
         std::to_string(location.mColumn) + ": " + aFinding.mText;
}

Findings::Findings(std::string aFile)
  : mFile(std::move(aFile))
{
}

void Findings::Add(int aLine, int aColumn, std::string aText, std::string aKind)
{
  mFindings.push_back({ { mFile, aLine, aColumn }, std::move(aText), std::move(aKind) });
}

void Findings::ThrowIfAny() const
{
  if (mFindings.empty()) {
    return;
  }
  std::vector<Finding> sorted = mFindings;
  std::ranges::stable_sort(sorted, {}, [](const Finding& aFinding) {
    return std::tuple(aFinding.mLocation.mLine, aFinding.mLocation.mColumn);
  });
  throw FindingsError(std::move(sorted));
}

}
