// Encoding of what workspaces got on one host, for the other hosts of its zone.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Cost by workspace, in the unit of AdmissionRequest::cost.
using UseByWorkspace = std::map<WorkspaceId, double>;

// Encodes at most aMost workspaces, those with the highest cost.
std::string
EncodeUseReport(const UseByWorkspace& aUse, std::size_t aMost);

// Fails with Corrupt when the bytes do not verify or a cost is no number of at least zero.
Result<UseByWorkspace>
DecodeUseReport(std::string_view aBytes);

} // namespace damasklink
