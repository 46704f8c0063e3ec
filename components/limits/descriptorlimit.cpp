#include "components/limits/descriptorlimit.hpp"

#include <algorithm>

#include <sys/resource.h>

namespace samphiresail::limits {

std::size_t RaiseDescriptorLimit(std::size_t aWanted)
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return aWanted;
  }
  const rlim_t before = limit.rlim_cur;
  limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, aWanted);
  if (limit.rlim_cur > before && setrlimit(RLIMIT_NOFILE, &limit) == 0) {
    return limit.rlim_cur;
  }
  return std::min<rlim_t>(before, aWanted);
}

}
