#ifndef SAMPHIRESAIL_COMPONENTS_SETTINGS_SETTINGSLOADER_HPP
#define SAMPHIRESAIL_COMPONENTS_SETTINGS_SETTINGSLOADER_HPP

#include <string>

#include "components/settings/processsettings.hpp"

namespace samphiresail::settings {

/// Reads the settings of an entry from YAML text; aFile names it in findings. Throws
/// findings::FindingsError with all faults.
EntrySettings ParseEntrySettings(const std::string& aText, const std::string& aFile);

/// Reads the settings of an agent likewise.
AgentSettings ParseAgentSettings(const std::string& aText, const std::string& aFile);

/// Reads a settings file. Throws findings::FindingsError with all faults, or
/// std::runtime_error if the file cannot be read.
EntrySettings LoadEntrySettings(const std::string& aPath);
AgentSettings LoadAgentSettings(const std::string& aPath);

}

#endif
