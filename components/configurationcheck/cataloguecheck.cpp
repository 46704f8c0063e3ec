#include "components/configurationcheck/cataloguecheck.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "components/catalogue/cataloguediff.hpp"
#include "components/catalogue/catalogueparser.hpp"
#include "components/catalogue/entryreader.hpp"
#include "components/catalogue/referencecheck.hpp"
#include "components/configurationcheck/findingkinds.hpp"
#include "components/findings/findingserror.hpp"
#include "components/yaml/document.hpp"

namespace samphiresail::configurationcheck {

namespace {

using catalogue::Declared;

std::string Quote(const std::string& aText)
{
  return "'" + aText + "'";
}

std::string Tokens(units::Tokens aTokens)
{
  return std::to_string(aTokens.Count()) + " tokens";
}

/// Returns the least that a request of the largest size needs, over all models; over the
/// calls of services if there are no models. Nothing if there are no requests with a
/// cost.
std::optional<units::Tokens> SmallestNeed(const catalogue::DeclaredCatalogue& aCatalogue)
{
  std::optional<units::Tokens> least;
  const auto note = [&](units::Tokens aNeed) {
    least = least ? std::min(*least, aNeed) : aNeed;
  };
  for (const Declared<catalogue::Model>& it : aCatalogue.mModels) {
    note(it.mEntry.mMaxPrompt + it.mEntry.mMaxOutput);
  }
  if (aCatalogue.mModels.empty()) {
    for (const Declared<catalogue::Service>& it : aCatalogue.mServices) {
      for (const catalogue::ServiceCall& call : it.mEntry.mCalls) {
        note(call.mCost);
      }
    }
  }
  return least;
}

/// A model states its largest request, and an account not which models it asks for, so
/// that only limits below the largest request of every model are contradictory.
void CheckQuotas(catalogue::DeclaredCatalogue& aCatalogue)
{
  const std::optional<units::Tokens> need = SmallestNeed(aCatalogue);
  if (!need) {
    return;
  }
  for (Declared<catalogue::ClientAccount>& it : aCatalogue.mClientAccounts) {
    const yaml::MapReader limits = it.mReader.Map("limits", false);
    if (limits.HasNumber("burst_tokens") && it.mEntry.mBurst < *need) {
      it.mReader.Report("limits",
                        "has a burst of " + Tokens(it.mEntry.mBurst) +
                          "; the largest request of any model needs at least " +
                          Tokens(*need),
                        std::string(kinds::kBurstBelowRequest));
    }
    if (limits.HasNumber("tokens_per_second") &&
        it.mEntry.mRate.Count() < static_cast<double>(need->Count())) {
      it.mReader.Report("limits",
                        "has a rate below the " + Tokens(*need) +
                          " a second that the largest request of any model needs",
                        std::string(kinds::kRateBelowRequest));
    }
  }
}

void CheckCallCosts(catalogue::DeclaredCatalogue& aCatalogue)
{
  const auto& accounts = aCatalogue.mClientAccounts;
  if (accounts.empty()) {
    return;
  }
  const auto burst = [](const Declared<catalogue::ClientAccount>& aItem) {
    return aItem.mEntry.mBurst;
  };
  const units::Tokens most = burst(*std::ranges::max_element(accounts, {}, burst));
  for (Declared<catalogue::Service>& it : aCatalogue.mServices) {
    for (const catalogue::ServiceCall& call : it.mEntry.mCalls) {
      if (call.mCost > most && !it.mEntry.mOpen) {
        it.mReader.Report("calls",
                          "call " + Quote(call.mMethod + " " + call.mPath) + " costs " +
                            Tokens(call.mCost) +
                            "; no client account has a burst above " + Tokens(most),
                          std::string(kinds::kBurstBelowRequest));
      }
    }
  }
}

std::vector<Finding> ToFindings(std::vector<findings::Finding> aFindings)
{
  const auto place = [](const findings::Finding& aFinding) {
    return std::tuple(aFinding.mLocation.mLine, aFinding.mLocation.mColumn);
  };
  std::ranges::stable_sort(aFindings, {}, place);
  std::vector<Finding> findings;
  std::ranges::transform(
    aFindings, std::back_inserter(findings), [](const findings::Finding& aFinding) {
      return Finding{ aFinding.mKind.empty() ? std::string(kinds::kInvalidEntry)
                                             : aFinding.mKind,
                      std::to_string(aFinding.mLocation.mLine) + ":" +
                        std::to_string(aFinding.mLocation.mColumn),
                      aFinding.mText };
    });
  return findings;
}

template<typename Entry>
auto ByName(const std::vector<Entry>& aEntries)
{
  std::unordered_map<std::string, const Entry*> table;
  for (const Entry& entry : aEntries) {
    table.emplace(entry.mName.Str(), &entry);
  }
  return table;
}

/// Calls aChanged with each entry before and after; the latter is null if it was removed.
template<typename Entry, typename Changed>
void ForEachBefore(const std::vector<Entry>& aBefore,
                   const std::vector<Entry>& aAfter,
                   Changed aChanged)
{
  const auto after = ByName(aAfter);
  for (const Entry& entry : aBefore) {
    const auto it = after.find(entry.mName.Str());
    aChanged(entry, it == after.end() ? nullptr : it->second);
  }
}

}

CatalogueReport CheckCatalogue(const std::string& aText)
{
  CatalogueReport report;
  findings::Findings findings("");
  const YAML::Node document = yaml::ParseDocument(aText, findings);
  if (!findings.Empty()) {
    for (const Finding& it : ToFindings(findings.All())) {
      report.mUnreadable +=
        (report.mUnreadable.empty() ? "" : "; ") + it.mPlace + ": " + it.mText;
    }
    return report;
  }
  yaml::MapReader reader(document, "catalogue", findings);
  catalogue::DeclaredCatalogue declared = catalogue::ReadDeclarations(reader, findings);
  reader.Finish();
  catalogue::CheckReferences(declared);
  const bool accepted = findings.Empty();
  CheckQuotas(declared);
  CheckCallCosts(declared);
  report.mFindings = ToFindings(findings.All());
  if (accepted) {
    report.mCatalogue = catalogue::TakeCatalogue(declared);
  }
  return report;
}

std::vector<Difference> DiffCatalogues(const catalogue::Catalogue& aBefore,
                                       const catalogue::Catalogue& aAfter)
{
  std::vector<Difference> differences;
  const auto add = [&](std::string_view aKind,
                       const std::string& aSubject,
                       const std::string& aText,
                       const std::string& aEffect) {
    differences.push_back({ std::string(aKind), aSubject, aText, aEffect });
  };
  for (const std::string& line : catalogue::DiffCatalogues(aBefore, aAfter)) {
    add({}, "catalogue", line, {});
  }
  ForEachBefore(
    aBefore.mClientAccounts,
    aAfter.mClientAccounts,
    [&](const catalogue::ClientAccount& aOld, const catalogue::ClientAccount* aNew) {
      const std::string subject = "client account " + Quote(aOld.mName.Str());
      if (aNew == nullptr) {
        add(kinds::kKeysWithdrawn, subject, "removed", "its keys are withdrawn");
      } else if (aNew->mRate < aOld.mRate || aNew->mBurst < aOld.mBurst) {
        add(kinds::kQuotaLowered,
            subject,
            "quota lowered",
            "requests beyond it are answered with 429");
      }
    });
  ForEachBefore(aBefore.mModels,
                aAfter.mModels,
                [&](const catalogue::Model& aOld, const catalogue::Model* aNew) {
                  if (aNew == nullptr) {
                    add(kinds::kModelDropped,
                        "model " + Quote(aOld.mName.Str()),
                        "removed",
                        "requests for it are not served");
                  }
                });
  std::set<std::string> routes;
  for (const catalogue::Service& service : aAfter.mServices) {
    routes.insert(service.mRoute);
  }
  ForEachBefore(
    aBefore.mServices,
    aAfter.mServices,
    [&](const catalogue::Service& aOld, const catalogue::Service* aNew) {
      const std::string subject = "service " + Quote(aOld.mName.Str());
      if (aNew == nullptr || aNew->mRoute != aOld.mRoute) {
        if (!routes.contains(aOld.mRoute)) {
          add(kinds::kRouteDropped,
              subject,
              "route " + aOld.mRoute + " removed",
              "its requests are answered with 404");
        }
        return;
      }
      if (aOld.mOpen && !aNew->mOpen) {
        add(kinds::kRouteClosed, subject, "no longer open", "callers need a key");
      }
      std::set<std::pair<std::string, std::string>> calls;
      for (const catalogue::ServiceCall& call : aNew->mCalls) {
        calls.emplace(call.mMethod, call.mPath);
      }
      for (const catalogue::ServiceCall& call : aOld.mCalls) {
        if (!calls.contains({ call.mMethod, call.mPath })) {
          add(kinds::kRouteDropped,
              subject,
              "call " + Quote(call.mMethod + " " + call.mPath) + " removed",
              "other calls of the service may match its requests");
        }
      }
    });
  return differences;
}

}
