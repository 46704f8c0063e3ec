#include "components/catalogue/serviceroutes.hpp"

#include <algorithm>

namespace samphiresail::catalogue {

namespace {

bool Covers(std::string_view aRoute, std::string_view aPath)
{
  return aPath.starts_with(aRoute) &&
         (aPath.size() == aRoute.size() || aPath[aRoute.size()] == '/');
}

/// Length of the match plus one, the highest for an exact path; 0 for no match.
std::size_t MatchLength(std::string_view aPattern, std::string_view aPath)
{
  if (aPattern == aPath) {
    return std::string_view::npos;
  }
  if (!aPattern.ends_with('*')) {
    return 0;
  }
  const std::string_view prefix = aPattern.substr(0, aPattern.size() - 1);
  return aPath.starts_with(prefix) ? prefix.size() + 1 : 0;
}

}

const Service* FindService(const Catalogue& aCatalogue, std::string_view aPath)
{
  const auto it =
    std::ranges::find_if(aCatalogue.mServices, [&](const Service& aService) {
      return Covers(aService.mRoute, aPath);
    });
  return it == aCatalogue.mServices.end() ? nullptr : &*it;
}

const ServiceCall* FindCall(const Service& aService,
                            std::string_view aMethod,
                            std::string_view aPath)
{
  if (!Covers(aService.mRoute, aPath)) {
    return nullptr;
  }
  const std::string_view rest = aPath.substr(aService.mRoute.size());
  const auto length = [&](const ServiceCall& aCall) {
    return aCall.mMethod == aMethod ? MatchLength(aCall.mPath, rest) : 0;
  };
  const auto it = std::ranges::max_element(aService.mCalls, {}, length);
  return it == aService.mCalls.end() || length(*it) == 0 ? nullptr : &*it;
}

}
