#ifndef SAMPHIRESAIL_COMPONENTS_CATALOGUE_REFERENCECHECK_HPP
#define SAMPHIRESAIL_COMPONENTS_CATALOGUE_REFERENCECHECK_HPP

#include "components/catalogue/entryreader.hpp"

namespace samphiresail::catalogue {

/// Adds findings for names that stand twice, references that do not resolve, models that
/// do not fit their endpoints and routes that hide each other.
void CheckReferences(DeclaredCatalogue& aCatalogue);

}

#endif
