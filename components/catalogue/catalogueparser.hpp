#ifndef SAMPHIRESAIL_COMPONENTS_CATALOGUE_CATALOGUEPARSER_HPP
#define SAMPHIRESAIL_COMPONENTS_CATALOGUE_CATALOGUEPARSER_HPP

#include <string>

#include "components/catalogue/catalogue.hpp"
#include "components/catalogue/entryreader.hpp"

namespace samphiresail::catalogue {

/// Moves the entries of a catalogue without findings out of their declarations.
Catalogue TakeCatalogue(DeclaredCatalogue& aDeclared);

/// Reads the operators' catalogue from YAML text; aFile names it in findings. Throws
/// findings::FindingsError with all faults: syntax, types, ranges, unknown keys, names
/// that stand twice and references that do not resolve.
Catalogue ParseCatalogue(const std::string& aText, const std::string& aFile);

/// Reads a catalogue file. Throws likewise, or std::runtime_error if the file cannot be
/// read.
Catalogue LoadCatalogue(const std::string& aPath);

}

#endif
