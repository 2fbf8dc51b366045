// Orders to targets over HTTP: POST /v1/orders. docs/API.md describes the fields.
#pragma once

#include "damasklink/coordination/TargetOrders.h"

namespace damasklink {

// The target and its endpoint are the address of the call and not part of the body.
std::string
FormatTargetOrder(const TargetOrder& aOrder);

// Fails with InvalidArgument naming the field.
Result<TargetOrder>
ParseTargetOrder(std::string_view aBody);

} // namespace damasklink
