// The body of POST /v1/orders, which sends an order to a target. docs/API.md describes the fields.
#pragma once

#include "damasklink/coordination/TargetOrders.h"

namespace damasklink {

// Formats the order without the target and its endpoint, which the request is sent to.
std::string
FormatTargetOrder(const TargetOrder& aOrder);

// Leaves the target and its endpoint empty. Fails with InvalidArgument, naming the invalid field.
Result<TargetOrder>
ParseTargetOrder(std::string_view aBody);

} // namespace damasklink
