#ifndef SAMPHIRESAIL_COMPONENTS_LIMITS_DESCRIPTORLIMIT_HPP
#define SAMPHIRESAIL_COMPONENTS_LIMITS_DESCRIPTORLIMIT_HPP

#include <cstddef>

namespace samphiresail::limits {

/// Raises the soft limit on the descriptors of this process to aWanted, as far as the
/// hard limit allows; a higher one stays. Returns how many of the wanted ones the process
/// may have.
std::size_t RaiseDescriptorLimit(std::size_t aWanted);

}

#endif
