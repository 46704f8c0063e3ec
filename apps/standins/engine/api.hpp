#ifndef SAMPHIRESAIL_APPS_STANDINS_ENGINE_API_HPP
#define SAMPHIRESAIL_APPS_STANDINS_ENGINE_API_HPP

#include <httplib.h>

#include "apps/standins/engine/engine.hpp"

namespace samphiresail::standins {

/// Registers the engine's HTTP interface: generation, orders, health, journal and faults.
void RegisterApi(httplib::Server& aServer, Engine& aEngine);

}

#endif
