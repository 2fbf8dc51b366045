// The burn of one host as the JSON that its operators' address serves on /v1/burn.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/BurnReport.h"
#include "damasklink/state/Error.h"

namespace damasklink {

std::string
FormatHostBurn(const HostBurn& aBurn);

// Fails with Corrupt naming the field that is wrong.
Result<HostBurn>
ParseHostBurn(std::string_view aBody);

// Returns a whole report as JSON: rows, the hosts that were reached and those that were not.
std::string
FormatBurnReport(const std::vector<WorkspaceBurn>& aRows,
                 const std::vector<std::string>& aReached,
                 const std::vector<std::string>& aUnreached);

} // namespace damasklink
