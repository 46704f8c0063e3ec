#include "components/catalogue/catalogueparser.hpp"

#include <algorithm>
#include <iterator>

#include "components/catalogue/entryreader.hpp"
#include "components/catalogue/referencecheck.hpp"
#include "components/yaml/document.hpp"

namespace samphiresail::catalogue {

namespace {

template<typename Entry>
std::vector<Entry> TakeEntries(std::vector<Declared<Entry>>& aDeclared)
{
  std::vector<Entry> entries;
  entries.reserve(aDeclared.size());
  std::ranges::transform(aDeclared,
                         std::back_inserter(entries),
                         [](Declared<Entry>& aItem) { return std::move(aItem.mEntry); });
  return entries;
}

}

Catalogue TakeCatalogue(DeclaredCatalogue& aDeclared)
{
  return { .mAvailabilityZones = TakeEntries(aDeclared.mAvailabilityZones),
           .mClientAccounts = TakeEntries(aDeclared.mClientAccounts),
           .mModels = TakeEntries(aDeclared.mModels),
           .mPools = TakeEntries(aDeclared.mPools),
           .mServices = TakeEntries(aDeclared.mServices),
           .mWeightStore = aDeclared.mWeightStore };
}

Catalogue ParseCatalogue(const std::string& aText, const std::string& aFile)
{
  findings::Findings findings(aFile);
  const YAML::Node document = yaml::ParseDocument(aText, findings);
  findings.ThrowIfAny();

  yaml::MapReader reader(document, "catalogue", findings);
  DeclaredCatalogue declared = ReadDeclarations(reader, findings);
  reader.Finish();
  CheckReferences(declared);
  findings.ThrowIfAny();

  return TakeCatalogue(declared);
}

Catalogue LoadCatalogue(const std::string& aPath)
{
  return ParseCatalogue(yaml::ReadFile(aPath), aPath);
}

}
