// Sources of settings: flags first, then environment variables, then defaults.
#pragma once

#include <string>

#include "Kernel/Result.h"
#include "Services/bramleyspand/Settings.h"

namespace bramleyspan {

// Returns the text of a setting from its flag, its BRAMLEYSPAN_ environment
// variable or its default, the first that is given.
SettingText LookupFlagOrEnvironment(const std::string& name);

// Fails with kInvalidSetting if the environment has a BRAMLEYSPAN_ variable
// that is not a setting: a misspelt one would silently leave the default in
// use.
Result<void> RefuseUnknownVariables();

// Reads the files of --flagfile again. Lines are --name=value. A line that is
// not a setting fails with kInvalidSetting and changes nothing; the parser of
// the command line would end the process instead.
Result<void> ReloadFlagFiles();

// Returns the paths given by --flagfile, separated by commas.
std::string FlagFiles();

// Returns the text of --help.
std::string UsageMessage();

}  // namespace bramleyspan
