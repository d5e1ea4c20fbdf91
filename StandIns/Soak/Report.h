// Prints what a soak has found, with the lines of all logs that name it.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "StandIns/Soak/Verdict.h"

namespace bramleyspan::standins {

// Returns a finding for each sanitizer report in the logs of a folder.
std::vector<Finding> FindSanitizerReports(const std::string& folder);

void Print(std::ostream& output,
           const std::vector<Finding>& findings,
           const std::string& folder);

// Prints when each process was asked to stop and how it ended.
void Print(std::ostream& output, const std::vector<ProcessRecord>& processes);

}  // namespace bramleyspan::standins
