#include <iostream>

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

} // namespace

ExitCode
RunCheck(const std::vector<std::string>& aFiles)
{
  std::size_t count = 0;
  for (const std::string& file : aFiles) {
    for (const Fault& fault : CheckFile(file)) {
      std::cout << FormatFault(fault) << '\n';
      ++count;
    }
  }
  std::cout << aFiles.size() << " files, " << count << " faults\n";
  return count == 0 ? ExitCode::Done : ExitCode::Refused;
}

} // namespace damasklink
