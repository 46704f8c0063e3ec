#ifndef SAMPHIRESAIL_COMPONENTS_CATALOGUE_SERVICEROUTES_HPP
#define SAMPHIRESAIL_COMPONENTS_CATALOGUE_SERVICEROUTES_HPP

#include <string_view>

#include "components/catalogue/catalogue.hpp"

namespace samphiresail::catalogue {

/// Returns the service whose route covers the path, or null.
const Service* FindService(const Catalogue& aCatalogue, std::string_view aPath);

/// Returns the declared call of a service for a full request path without its query, or
/// null. An exact path goes before one that ends in `*`, a longer one before a shorter.
const ServiceCall* FindCall(const Service& aService,
                            std::string_view aMethod,
                            std::string_view aPath);

}

#endif
