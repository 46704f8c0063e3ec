#ifndef SAMPHIRESAIL_COMPONENTS_CONFIGURATIONCHECK_CATALOGUECHECK_HPP
#define SAMPHIRESAIL_COMPONENTS_CONFIGURATIONCHECK_CATALOGUECHECK_HPP

#include <optional>
#include <string>
#include <vector>

#include "components/catalogue/catalogue.hpp"
#include "components/configurationcheck/finding.hpp"

namespace samphiresail::configurationcheck {

struct CatalogueReport
{
  /// Why the text is no YAML document; empty if it is one.
  std::string mUnreadable;
  std::vector<Finding> mFindings;
  /// The catalogue if `apply` would accept it.
  std::optional<catalogue::Catalogue> mCatalogue;
};

/// Checks a catalogue by the rules of `apply` and for contradictory limits. Places are
/// `line:column`.
CatalogueReport CheckCatalogue(const std::string& aText);

/// Returns what differs between two catalogues, and what callers lose by it.
std::vector<Difference> DiffCatalogues(const catalogue::Catalogue& aBefore,
                                       const catalogue::Catalogue& aAfter);

}

#endif
