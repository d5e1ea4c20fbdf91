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

// Reads the files of --flagfile again. Lines are --name=value; a line that is
// no setting of ours fails with kInvalidSetting and changes nothing, where the
// command line's own parser would end the process.
Result<void> ReloadFlagFiles();

// The files of --flagfile, separated by commas.
std::string FlagFiles();

// The usage text of --help.
std::string UsageMessage();

}  // namespace bramleyspan
