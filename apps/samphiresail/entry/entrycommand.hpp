#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENTRYCOMMAND_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_ENTRY_ENTRYCOMMAND_HPP

#include <string>

namespace samphiresail::entry {

/// Runs the entry role until SIGTERM. Returns the exit status; throws for bad settings.
int RunEntry(const std::string& aSettingsPath);

}

#endif
