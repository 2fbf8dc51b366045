#include <iostream>

#include <nlohmann/json.hpp>

#include "Commands.h"
#include "damasklink/state/ConfigTree.h"
#include "damasklink/state/Settings.h"

namespace damasklink {
namespace {

// Settings name a host; a tree does not.
bool
LooksLikeSettings(const std::string& aText)
{
  return aText.starts_with("host:") || aText.find("\nhost:") != std::string::npos;
}

std::vector<Fault>
CheckFile(const std::string& aFile)
{
  const auto text = ReadWholeFile(aFile);
  if (!text) {
    return { Fault{ aFile, 0, "", text.error().message, text.error().remedy } };
  }
  if (LooksLikeSettings(text.value())) {
    return ParseHostSettings(text.value(), aFile).faults;
  }
  return ParseConfigTree(text.value(), aFile).faults;
}

void
PrintText(const std::vector<Fault>& aFaults, std::size_t aFiles)
{
  for (const Fault& fault : aFaults) {
    std::cout << FormatFault(fault) << '\n';
  }
  std::cout << aFiles << " files, " << aFaults.size() << " faults\n";
}

void
PrintJson(const std::vector<Fault>& aFaults, std::size_t aFiles)
{
  nlohmann::json faults = nlohmann::json::array();
  for (const Fault& fault : aFaults) {
    faults.push_back({ { "file", fault.file },
                       { "line", fault.line },
                       { "key", fault.key },
                       { "problem", fault.problem },
                       { "remedy", fault.remedy } });
  }
  const nlohmann::json result{ { "files", aFiles }, { "faults", std::move(faults) } };
  std::cout << result.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

constexpr std::string_view kUsage = R"(Usage:
  damasklink check [options] FILE...

Options:
  --output FORMAT    text or json [default: text].
)";

ExitCode
Run(const Arguments& aArguments)
{
  const OutputFormat format = OutputOf(aArguments);
  const std::vector<std::string>& files = aArguments.at("FILE").asStringList();
  std::vector<Fault> faults;
  for (const std::string& file : files) {
    std::vector<Fault> found = CheckFile(file);
    faults.insert(faults.end(), found.begin(), found.end());
  }
  if (format == OutputFormat::Json) {
    PrintJson(faults, files.size());
  } else {
    PrintText(faults, files.size());
  }
  return faults.empty() ? ExitCode::Done : ExitCode::Refused;
}

} // namespace

Command
CheckCommand()
{
  return Command{ "check", "Checks settings and tree files and prints every fault.", kUsage, Run };
}

} // namespace damasklink
