#ifndef SAMPHIRESAIL_COMPONENTS_CONFIGURATIONCHECK_FINDING_HPP
#define SAMPHIRESAIL_COMPONENTS_CONFIGURATIONCHECK_FINDING_HPP

#include <string>

namespace samphiresail::configurationcheck {

/// Fault of a file.
struct Finding
{
  /// Name of the kind, see kinds.
  std::string mKind;
  /// Place as the file's format spells it; empty for the whole file.
  std::string mPlace;
  std::string mText;
};

/// Difference between a file and the version in force.
struct Difference
{
  /// Name of the kind if the difference takes something from callers, else empty.
  std::string mKind;
  /// What differs, as in `account 'a'`.
  std::string mSubject;
  std::string mText;
  /// What callers notice; empty if nothing.
  std::string mEffect;
};

}

#endif
