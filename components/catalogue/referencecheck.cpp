#include "components/catalogue/referencecheck.hpp"

#include <set>
#include <unordered_map>

namespace samphiresail::catalogue {

namespace {

template<typename Entry>
void CheckUniqueNames(std::vector<Declared<Entry>>& aEntries)
{
  std::set<std::string> seen;
  for (Declared<Entry>& it : aEntries) {
    const std::string& name = it.mEntry.mName.Str();
    if (!name.empty() && !seen.insert(name).second) {
      it.mReader.Report("name", "name '" + name + "' stands twice", "duplicate-name");
    }
  }
}

/// Entries by name; of several with the same name, the first.
template<typename Entry>
using Index = std::unordered_map<std::string, Declared<Entry>*>;

template<typename Entry>
Index<Entry> IndexOf(std::vector<Declared<Entry>>& aEntries)
{
  Index<Entry> index;
  for (Declared<Entry>& it : aEntries) {
    index.emplace(it.mEntry.mName.Str(), &it);
  }
  return index;
}

template<typename Entry, typename Id>
Declared<Entry>* Find(const Index<Entry>& aIndex, const Id& aName)
{
  const auto it = aIndex.find(aName.Str());
  return it == aIndex.end() ? nullptr : it->second;
}

/// Returns the pool that an entry names, if it exists and is of the kind.
template<typename Entry>
Declared<EndpointPool>* CheckPool(const Index<EndpointPool>& aPools,
                                  Declared<Entry>& aItem,
                                  PoolKind aKind)
{
  const ids::PoolId& name = aItem.mEntry.mPool;
  if (name.Empty()) {
    return nullptr;
  }
  Declared<EndpointPool>* pool = Find(aPools, name);
  if (pool == nullptr) {
    aItem.mReader.Report(
      "pool", "pool '" + name.Str() + "' is not declared", "unknown-pool");
  } else if (pool->mEntry.mKind != aKind) {
    aItem.mReader.Report("pool",
                         "pool '" + name.Str() + "' must be of kind " +
                           (aKind == PoolKind::Engine ? "engine" : "service"),
                         "unknown-pool");
  }
  return pool;
}

units::Bytes CheckBase(const Index<Model>& aModels, Declared<Model>& aAdapter)
{
  const Model& adapter = aAdapter.mEntry;
  const Declared<Model>* declared = Find(aModels, adapter.mBase);
  const Model* base = declared == nullptr ? nullptr : &declared->mEntry;
  const std::string text = "base '" + adapter.mBase.Str() + "' ";
  if (base == nullptr) {
    aAdapter.mReader.Report("base", text + "is not declared", "adapter-without-model");
    return {};
  }
  if (!base->mBase.Empty()) {
    aAdapter.mReader.Report(
      "base", text + "is an adapter itself", "adapter-without-model");
  }
  if (base->mPool != adapter.mPool) {
    aAdapter.mReader.Report(
      "base", text + "is in pool '" + base->mPool.Str() + "'", "adapter-without-model");
  }
  return base->mMemory;
}

void CheckModels(DeclaredCatalogue& aCatalogue, const Index<EndpointPool>& aPools)
{
  const Index<Model> models = IndexOf(aCatalogue.mModels);
  for (Declared<Model>& it : aCatalogue.mModels) {
    Declared<EndpointPool>* pool = CheckPool(aPools, it, PoolKind::Engine);
    units::Bytes memory = it.mEntry.mMemory;
    if (!it.mEntry.mBase.Empty()) {
      memory += CheckBase(models, it);
    }
    if (pool == nullptr || pool->mEntry.mKind != PoolKind::Engine) {
      continue;
    }
    // Without a readable memory of the pool nothing is known about what fits.
    const bool isKnown = pool->mReader.Map("limits", false).HasNumber("memory_mib");
    if (isKnown && memory > pool->mEntry.mMemory) {
      it.mReader.Report("limits",
                        "needs more memory than an endpoint of pool '" +
                          pool->mEntry.mName.Str() + "' has",
                        "model-too-large");
    }
  }
}

/// Returns a route of the ordered set that covers the route or is covered by it.
const std::string* FindOverlap(const std::set<std::string>& aRoutes,
                               const std::string& aRoute)
{
  for (std::size_t end = aRoute.size(); end != std::string::npos && end > 0;
       end = aRoute.rfind('/', end - 1)) {
    if (const auto it = aRoutes.find(aRoute.substr(0, end)); it != aRoutes.end()) {
      return &*it;
    }
  }
  const auto below = aRoutes.lower_bound(aRoute + "/");
  return below != aRoutes.end() && below->starts_with(aRoute + "/") ? &*below : nullptr;
}

void CheckServices(DeclaredCatalogue& aCatalogue, const Index<EndpointPool>& aPools)
{
  std::set<std::string> routes;
  for (Declared<Service>& it : aCatalogue.mServices) {
    CheckPool(aPools, it, PoolKind::Service);
    const std::string& route = it.mEntry.mRoute;
    if (route.empty()) {
      continue;
    }
    if (const std::string* other = FindOverlap(routes, route)) {
      it.mReader.Report(
        "route", "route '" + route + "' overlaps '" + *other + "'", "shadowed-route");
    }
    routes.insert(route);
  }
}

}

void CheckReferences(DeclaredCatalogue& aCatalogue)
{
  CheckUniqueNames(aCatalogue.mAvailabilityZones);
  CheckUniqueNames(aCatalogue.mClientAccounts);
  CheckUniqueNames(aCatalogue.mModels);
  CheckUniqueNames(aCatalogue.mPools);
  CheckUniqueNames(aCatalogue.mServices);
  const Index<EndpointPool> pools = IndexOf(aCatalogue.mPools);
  CheckModels(aCatalogue, pools);
  CheckServices(aCatalogue, pools);
}

}
