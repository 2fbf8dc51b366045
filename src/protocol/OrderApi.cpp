#include "damasklink/protocol/OrderApi.h"

#include <algorithm>
#include <array>

#include "JsonFields.h"

namespace damasklink {
namespace {

using internal::Dump;
using internal::FieldReader;
using internal::Json;

// In the order of DeploymentRole.
constexpr std::array<std::string_view, 4> kRoles{ "keep", "both", "prefill", "decode" };

} // namespace

std::string
FormatTargetOrder(const TargetOrder& aOrder)
{
  Json adapters = Json::array();
  for (const AdapterName& adapter : aOrder.desired.adapters) {
    adapters.push_back(adapter.Value());
  }
  return Dump(Json{ { "fencing", aOrder.fencing.Value() },
                    { "model", aOrder.desired.model.Value() },
                    { "version", aOrder.desired.version.Value() },
                    { "adapters", adapters },
                    { "role", kRoles.at(static_cast<std::size_t>(aOrder.role)) } });
}

Result<TargetOrder>
ParseTargetOrder(std::string_view aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Fail(ErrorKind::InvalidArgument,
                "the order is not a JSON object",
                "compare the body with docs/API.md");
  }
  FieldReader fields(body);
  TargetOrder order;
  order.fencing = FencingNumber(fields.Count("fencing"));
  order.desired.model = ModelName(fields.Text("model"));
  order.desired.version = WeightVersion(fields.Text("version"));
  for (const Json& item : fields.Items("adapters")) {
    if (!item.is_string()) {
      fields.AddProblem("adapters", "has an entry that is not a string");
      break;
    }
    order.desired.adapters.emplace_back(item.get<std::string>());
  }
  const std::string role = fields.Text("role");
  const auto* const found = std::find(kRoles.begin(), kRoles.end(), role);
  if (found == kRoles.end()) {
    fields.AddProblem("role", "is unknown");
  } else {
    order.role = static_cast<DeploymentRole>(found - kRoles.begin());
  }
  if (order.desired.model.Empty() || order.desired.version.Empty()) {
    fields.AddProblem("model", "or 'version' is missing");
  }
  if (!fields.Problem().empty()) {
    return Fail(ErrorKind::InvalidArgument, fields.Problem(), "compare the body with docs/API.md");
  }
  return order;
}

} // namespace damasklink
