#include "EngineFaults.h"

#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace damasklink::standin {
namespace {

constexpr std::pair<std::string_view, FaultKind> kNames[] = {
  { "none", FaultKind::None },     { "die", FaultKind::Die },
  { "cut", FaultKind::Cut },       { "stall", FaultKind::Stall },
  { "double", FaultKind::Double }, { "reorder", FaultKind::Reorder },
  { "refuse", FaultKind::Refuse },
};

bool
ReadNumber(const std::string& aText, std::uint64_t& aTo)
{
  return aText.empty() || absl::SimpleAtoi(aText, &aTo);
}

} // namespace

Result<EngineFault>
ParseEngineFault(const std::string& aText)
{
  const std::pair<std::string, std::string> kind = absl::StrSplit(aText, absl::MaxSplits(':', 1));
  const std::pair<std::string, std::string> counts =
    absl::StrSplit(kind.second, absl::MaxSplits('/', 1));
  EngineFault fault;
  const bool readable =
    ReadNumber(counts.first, fault.tokens) && ReadNumber(counts.second, fault.every);
  for (const auto& [name, value] : kNames) {
    if (kind.first == name && readable && fault.every > 0) {
      fault.kind = value;
      return fault;
    }
  }
  return Fail(ErrorKind::InvalidArgument,
              "the fault '" + aText + "' is unknown",
              "write none, die, cut, stall, double, reorder or refuse, such as cut:20/3");
}

} // namespace damasklink::standin
