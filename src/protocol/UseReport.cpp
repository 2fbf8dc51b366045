#include "damasklink/protocol/UseReport.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include <Admission_generated.h>

namespace damasklink {
namespace {

auto
Corrupt()
{
  return Fail(ErrorKind::Corrupt,
              "a usage report is malformed",
              "check that only hosts of this system can reach the peer address");
}

} // namespace

std::string
EncodeUseReport(const UseByWorkspace& aUse, std::size_t aMaxCount)
{
  std::vector<std::pair<double, WorkspaceId>> uses;
  for (const auto& [workspace, cost] : aUse) {
    uses.emplace_back(cost, workspace);
  }
  std::sort(uses.rbegin(), uses.rend());
  uses.resize(std::min(uses.size(), aMaxCount));
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::WorkspaceUse>> packed;
  for (const auto& [cost, workspace] : uses) {
    const auto name = builder.CreateString(workspace.Value());
    packed.push_back(wire::CreateWorkspaceUse(builder, name, static_cast<float>(cost)));
  }
  builder.Finish(wire::CreateUseReport(builder, builder.CreateVector(packed)));
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
}

Result<UseByWorkspace>
DecodeUseReport(std::string_view aBytes)
{
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  flatbuffers::Verifier verifier(bytes, aBytes.size());
  if (!verifier.VerifyBuffer<wire::UseReport>(nullptr)) {
    return Corrupt();
  }
  UseByWorkspace use;
  const auto* report = flatbuffers::GetRoot<wire::UseReport>(bytes);
  if (report->uses() == nullptr) {
    return use;
  }
  for (const wire::WorkspaceUse* entry : *report->uses()) {
    if (!std::isfinite(entry->cost()) || entry->cost() < 0) {
      return Corrupt();
    }
    use[WorkspaceId(entry->workspace()->str())] += entry->cost();
  }
  return use;
}

} // namespace damasklink
