#ifndef SAMPHIRESAIL_APPS_TESTS_PROCESSES_FREEPORT_HPP
#define SAMPHIRESAIL_APPS_TESTS_PROCESSES_FREEPORT_HPP

#include <cstdint>

namespace samphiresail::tests {

/// Returns a port of the loopback address on which nothing listens.
std::uint16_t FindFreePort();

}

#endif
