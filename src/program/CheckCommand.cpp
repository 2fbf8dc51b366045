#include <iostream>

#include <nlohmann/json.hpp>

#include "Commands.h"
#include "ConfigClient.h"
#include "damasklink/state/ConfigTree.h"
#include "damasklink/state/Settings.h"

namespace damasklink {
namespace {

// Returns whether the text is a settings file: settings have a host, a tree has none.
bool
LooksLikeSettings(const std::string& aText)
{
  return aText.starts_with("host:") || aText.find("\nhost:") != std::string::npos;
}

// Checks the file or folder that one argument names: settings, a tree, or a folder whose files are
// checked as one tree. Adds the number of files to aFiles.
std::vector<Fault>
CheckPath(const std::string& aPath, std::size_t& aFiles)
{
  auto sources = ReadConfigSources(aPath);
  if (!sources) {
    ++aFiles;
    return { Fault{ aPath, 0, "", sources.error().message, sources.error().remedy } };
  }
  aFiles += sources.value().size();
  std::vector<Fault> faults;
  std::vector<ConfigSource> trees;
  for (ConfigSource& source : sources.value()) {
    if (LooksLikeSettings(source.text)) {
      for (Fault& fault : ParseHostSettings(source.text, source.file).faults) {
        faults.push_back(std::move(fault));
      }
    } else {
      trees.push_back(std::move(source));
    }
  }
  if (!trees.empty()) {
    for (Fault& fault : ParseConfigSources(trees, SubtreePolicy()).faults) {
      faults.push_back(std::move(fault));
    }
  }
  return faults;
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

A FILE is a settings file, a tree, or a folder; the trees below a folder are checked as one tree.

Options:
  --output FORMAT    text or json [default: text].
)";

ExitCode
Run(const Arguments& aArguments)
{
  const OutputFormat format = OutputOf(aArguments);
  const std::vector<std::string>& files = aArguments.at("FILE").asStringList();
  std::vector<Fault> faults;
  std::size_t count = 0;
  for (const std::string& file : files) {
    std::vector<Fault> found = CheckPath(file, count);
    faults.insert(faults.end(), found.begin(), found.end());
  }
  if (format == OutputFormat::Json) {
    PrintJson(faults, count);
  } else {
    PrintText(faults, count);
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
