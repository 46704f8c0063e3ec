#ifndef SAMPHIRESAIL_COMPONENTS_FINDINGS_FINDINGS_HPP
#define SAMPHIRESAIL_COMPONENTS_FINDINGS_FINDINGS_HPP

#include <string>
#include <vector>

namespace samphiresail::findings {

/// Position in a file; lines and columns are counted from 1.
struct SourceLocation
{
  std::string mFile;
  int mLine{ 1 };
  int mColumn{ 1 };
};

/// Error in a file with its location.
struct Finding
{
  SourceLocation mLocation;
  std::string mText;
  /// Name of the kind of error, as in `missing-field`; empty if it has none of its own.
  std::string mKind;
};

/// Returns the finding as `file:line:column: text`.
std::string Describe(const Finding& aFinding);

/// Collects the errors of one file, so that all are reported together.
class Findings
{
public:
  explicit Findings(std::string aFile);

  void Add(int aLine, int aColumn, std::string aText, std::string aKind = {});
  bool Empty() const { return mFindings.empty(); }
  const std::vector<Finding>& All() const { return mFindings; }

  /// Throws FindingsError with all findings, sorted by location, if there are any.
  void ThrowIfAny() const;

private:
  std::string mFile;
  std::vector<Finding> mFindings;
};

}

#endif
