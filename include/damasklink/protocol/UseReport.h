// Encodes the usage of workspaces on one host, which it reports to the other hosts of its zone.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// The cost of each workspace's requests, in the unit of AdmissionRequest::cost.
using UseByWorkspace = std::map<WorkspaceId, double>;

// Encodes the aMaxCount workspaces with the highest cost.
std::string
EncodeUseReport(const UseByWorkspace& aUse, std::size_t aMaxCount);

// Fails with Corrupt when the bytes are invalid or a cost is negative or not finite.
Result<UseByWorkspace>
DecodeUseReport(std::string_view aBytes);

} // namespace damasklink
