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

  return { .mAvailabilityZones = TakeEntries(declared.mAvailabilityZones),
           .mClientAccounts = TakeEntries(declared.mClientAccounts),
           .mModels = TakeEntries(declared.mModels),
           .mPools = TakeEntries(declared.mPools),
           .mServices = TakeEntries(declared.mServices),
           .mWeightStore = declared.mWeightStore };
}

Catalogue LoadCatalogue(const std::string& aPath)
{
  return ParseCatalogue(yaml::ReadFile(aPath), aPath);
}

}
