// Reads YAML mappings key by key and collects every fault with its line. Internal to src/.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "damasklink/state/Fault.h"
#include "damasklink/state/Ids.h"
#include "damasklink/state/Units.h"

namespace damasklink::internal {

// Gathers faults of one file.
class FaultList
{
public:
  explicit FaultList(std::string aFile)
    : file(std::move(aFile))
  {
  }

  void Add(int aLine, std::string aKey, std::string aProblem, std::string aRemedy);

  std::vector<Fault> Take() { return std::move(this->faults); }

private:
  std::string file;
  std::vector<Fault> faults;
};

// Parses a document. Returns a null node and adds a fault when it is not YAML.
YAML::Node
LoadYaml(const std::string& aText, FaultList& aFaults);

// One mapping. Each Read call marks its key as known; Finish() reports the keys never read.
//
//   YamlSection section(node, "addresses", faults);
//   section.ReadText("callers", settings.callers);
//   section.Finish();
//
// A key that is missing leaves the destination as it was, unless Require() named it.
class YamlSection
{
public:
  YamlSection(const YAML::Node& aNode, std::string aPath, FaultList& aFaults);

  // Adds a fault when the key is missing.
  void Require(std::string_view aKey, std::string_view aRemedy);

  void ReadText(std::string_view aKey, std::string& aTo);
  void ReadFlag(std::string_view aKey, bool& aTo);
  void ReadCount(std::string_view aKey,
                 std::uint64_t& aTo,
                 std::uint64_t aLeast,
                 std::uint64_t aMost);
  void ReadNumber(std::string_view aKey, double& aTo, double aLeast, double aMost);
  void ReadDuration(std::string_view aKey, Duration& aTo);
  void ReadSize(std::string_view aKey, ByteCount& aTo);

  template<typename Tag>
  void ReadId(std::string_view aKey, StringId<Tag>& aTo)
  {
    std::string text = aTo.Value();
    this->ReadText(aKey, text);
    aTo = StringId<Tag>(std::move(text));
  }

  template<typename Tag>
  void ReadIds(std::string_view aKey, std::vector<StringId<Tag>>& aTo)
  {
    this->ReadItems(aKey, [&](const YAML::Node& aItem, const std::string&) {
      aTo.push_back(StringId<Tag>(aItem.Scalar()));
    });
  }

  // Calls aVisit with each item of a list of scalars and its path; adds a fault for anything else.
  void ReadItems(std::string_view aKey,
                 const std::function<void(const YAML::Node&, const std::string&)>& aVisit);

  // Calls aVisit with the sub-mapping under the key, when there is one.
  void ReadSection(std::string_view aKey, const std::function<void(YamlSection&)>& aVisit);

  // Calls aVisit with each mapping in a list under the key.
  void ReadSections(std::string_view aKey, const std::function<void(YamlSection&)>& aVisit);

  // Calls aVisit with (name, mapping) for each entry of the mapping under the key.
  void ReadNamedSections(std::string_view aKey,
                         const std::function<void(const std::string&, YamlSection&)>& aVisit);

  // Reports the keys that nobody read, and keys that stand twice.
  void Finish();

  // Adds a fault at the line of the key (or of this section when it is missing).
  void AddFault(std::string_view aKey, std::string aProblem, std::string aRemedy);

  // Adds a fault at the place that the keys lead down to; numbers count the items of a list. Where
  // the place does not exist, the line is that of the nearest one above it.
  void AddFaultAt(const std::vector<std::string>& aPath, std::string aProblem, std::string aRemedy);

  bool Has(std::string_view aKey) const;
  const std::string& Path() const { return this->path; }

private:
  YAML::Node Find(std::string_view aKey);
  YAML::Node FindScalar(std::string_view aKey);
  std::string PathOf(std::string_view aKey) const;
  void VisitSection(const YAML::Node& aNode,
                    const std::string& aPath,
                    const std::function<void(YamlSection&)>& aVisit);

  YAML::Node node;
  std::string path;
  FaultList& faults;
  std::set<std::string> known;
};

} // namespace damasklink::internal
