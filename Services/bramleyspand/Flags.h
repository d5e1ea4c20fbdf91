// Where settings come from: flags, then environment variables, then defaults.
#pragma once

#include <string>

#include "Kernel/Result.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan {

// Reads the flag, then the BRAMLEYSPAN_ environment variable, then the default
// of a setting.
SettingText LookupFlagOrEnvironment(const std::string& name);

// Fails with kInvalidSetting if the environment holds a BRAMLEYSPAN_ variable
// that is no setting: a misspelt one would silently leave its default.
Result<void> RefuseUnknownVariables();

// The usage text of --help.
std::string UsageMessage();

}  // namespace bramleyspan
