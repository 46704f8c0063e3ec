#ifndef SAMPHIRESAIL_COMPONENTS_CATALOGUE_CATALOGUEDIFF_HPP
#define SAMPHIRESAIL_COMPONENTS_CATALOGUE_CATALOGUEDIFF_HPP

#include <string>
#include <vector>

#include "components/catalogue/catalogue.hpp"

namespace samphiresail::catalogue {

/// Returns one line for each entry that was added (`+`), removed (`-`) or changed (`~`),
/// the latter with the fields that differ. The out state of availability zones is no part
/// of a catalogue file and is ignored. Empty for equal catalogues.
std::vector<std::string> DiffCatalogues(const Catalogue& aBefore,
                                        const Catalogue& aAfter);

}

#endif
