#include "apps/samphiresail/entry/entrycommand.hpp"

#include <stdexcept>

namespace samphiresail::entry {

int RunEntry(const std::string& aSettingsPath)
{
  throw std::runtime_error("no entry for " + aSettingsPath);
}

}
