// Error budget burn rates as JSON, which each host serves to operators on /v1/burn.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/BurnReport.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// Returns the burn rates of one host.
std::string
FormatHostBurn(const HostBurn& aBurn);

// Fails with Corrupt, naming the invalid field.
Result<HostBurn>
ParseHostBurn(std::string_view aBody);

// Returns the report over all hosts: the merged rows, and which hosts answered and which did not.
std::string
FormatBurnReport(const std::vector<WorkspaceBurn>& aRows,
                 const std::vector<std::string>& aReached,
                 const std::vector<std::string>& aUnreached);

} // namespace damasklink
