#ifndef SAMPHIRESAIL_COMPONENTS_CATALOGUE_ENTRYREADER_HPP
#define SAMPHIRESAIL_COMPONENTS_CATALOGUE_ENTRYREADER_HPP

#include <vector>

#include "components/catalogue/catalogue.hpp"
#include "components/yaml/mapreader.hpp"

namespace samphiresail::catalogue {

/// Entry with the reader that places findings in it.
template<typename Entry>
struct Declared
{
  Entry mEntry;
  yaml::MapReader mReader;
};

/// Catalogue as written, before references between its entries are checked. Adapters
/// follow the models in one table.
struct DeclaredCatalogue
{
  std::vector<Declared<AvailabilityZone>> mAvailabilityZones;
  std::vector<Declared<ClientAccount>> mClientAccounts;
  std::vector<Declared<Model>> mModels;
  std::vector<Declared<EndpointPool>> mPools;
  std::vector<Declared<Service>> mServices;
  WeightStore mWeightStore;
};

/// Reads all entries of the catalogue; faults within an entry become findings.
DeclaredCatalogue ReadDeclarations(yaml::MapReader& aReader,
                                   findings::Findings& aFindings);

}

#endif
