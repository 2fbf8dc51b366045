#include "YamlReader.h"

#include "damasklink/state/Text.h"
#include <absl/strings/numbers.h>

namespace damasklink::internal {
namespace {

int
LineOf(const YAML::Node& aNode)
{
  return aNode.Mark().line + 1;
}

} // namespace

void
FaultList::Add(int aLine, std::string aKey, std::string aProblem, std::string aRemedy)
{
  this->faults.push_back(
    Fault{ this->file, aLine, std::move(aKey), std::move(aProblem), std::move(aRemedy) });
}

YAML::Node
LoadYaml(const std::string& aText, FaultList& aFaults)
{
  try {
    return YAML::Load(aText);
  } catch (const YAML::Exception& error) {
    aFaults.Add(error.mark.line + 1, "", Concat("not YAML: ", error.msg), "mend the syntax");
    return YAML::Node(YAML::NodeType::Null);
  }
}

YamlSection::YamlSection(const YAML::Node& aNode, std::string aPath, FaultList& aFaults)
  : node(aNode)
  , path(std::move(aPath))
  , faults(aFaults)
{
  if (!this->node.IsMap()) {
    this->faults.Add(LineOf(this->node), this->path, "is not a mapping", "write key: value lines");
    this->node = YAML::Node(YAML::NodeType::Map);
  }
}

void
YamlSection::Require(std::string_view aKey, std::string_view aRemedy)
{
  if (!this->Has(aKey)) {
    this->AddFault(aKey, "is missing", std::string(aRemedy));
  }
}

void
YamlSection::ReadText(std::string_view aKey, std::string& aTo)
{
  const YAML::Node found = this->FindScalar(aKey);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  if (found.Scalar().empty()) {
    this->AddFault(aKey, "is empty", "write a text or leave the key out");
    return;
  }
  aTo = found.Scalar();
}

void
YamlSection::ReadFlag(std::string_view aKey, bool& aTo)
{
  const YAML::Node found = this->FindScalar(aKey);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  if (!YAML::convert<bool>::decode(found, aTo)) {
    this->AddFault(aKey, "is neither true nor false", "write true or false");
  }
}

void
YamlSection::ReadCount(std::string_view aKey,
                       std::uint64_t& aTo,
                       std::uint64_t aLeast,
                       std::uint64_t aMost)
{
  const YAML::Node found = this->FindScalar(aKey);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(found.Scalar(), &number) || number < aLeast || number > aMost) {
    this->AddFault(aKey,
                   Concat("'", found.Scalar(), "' is not a whole number in range"),
                   Concat("write a number from ", aLeast, " to ", aMost));
    return;
  }
  aTo = number;
}

void
YamlSection::ReadNumber(std::string_view aKey, double& aTo, double aLeast, double aMost)
{
  const YAML::Node found = this->FindScalar(aKey);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  double number = 0;
  const bool read = absl::SimpleAtod(found.Scalar(), &number);
  // Written so that a NaN fails the range check.
  if (!read || !(number >= aLeast && number <= aMost)) {
    this->AddFault(aKey,
                   Concat("'", found.Scalar(), "' is not a number in range"),
                   Concat("write a number from ", aLeast, " to ", aMost));
    return;
  }
  aTo = number;
}

void
YamlSection::ReadDuration(std::string_view aKey, Duration& aTo)
{
  const YAML::Node found = this->FindScalar(aKey);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  const auto read = ParseDuration(found.Scalar());
  if (!read) {
    this->AddFault(aKey, read.error().message, read.error().remedy);
    return;
  }
  aTo = read.value();
}

void
YamlSection::ReadSize(std::string_view aKey, ByteCount& aTo)
{
  const YAML::Node found = this->FindScalar(aKey);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  const auto read = ParseSize(found.Scalar());
  if (!read) {
    this->AddFault(aKey, read.error().message, read.error().remedy);
    return;
  }
  aTo = read.value();
}

void
YamlSection::ReadItems(std::string_view aKey,
                       const std::function<void(const YAML::Node&, const std::string&)>& aVisit)
{
  const YAML::Node found = this->Find(aKey);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  if (!found.IsSequence()) {
    this->AddFault(aKey, "is not a list", "write [a, b] or one '- item' a line");
    return;
  }
  for (std::size_t index = 0; index < found.size(); ++index) {
    const YAML::Node item = found[index];
    const std::string itemPath = Concat(this->PathOf(aKey), "[", index, "]");
    if (!item.IsScalar() || item.Scalar().empty()) {
      this->faults.Add(LineOf(item), itemPath, "is not a plain value", "write a text");
      continue;
    }
    aVisit(item, itemPath);
  }
}

void
YamlSection::ReadSection(std::string_view aKey, const std::function<void(YamlSection&)>& aVisit)
{
  const YAML::Node found = this->Find(aKey);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  this->VisitSection(found, this->PathOf(aKey), aVisit);
}

void
YamlSection::ReadSections(std::string_view aKey, const std::function<void(YamlSection&)>& aVisit)
{
  const YAML::Node found = this->Find(aKey);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  if (!found.IsSequence()) {
    this->AddFault(aKey, "is not a list", "write one '- ' entry for each");
    return;
  }
  for (std::size_t index = 0; index < found.size(); ++index) {
    this->VisitSection(found[index], Concat(this->PathOf(aKey), "[", index, "]"), aVisit);
  }
}

void
YamlSection::ReadNamedSections(std::string_view aKey,
                               const std::function<void(const std::string&, YamlSection&)>& aVisit)
{
  const YAML::Node found = this->Find(aKey);
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  if (!found.IsMap()) {
    this->AddFault(aKey, "is not a mapping", "write one name: entry for each");
    return;
  }
  std::set<std::string> seen;
  for (const auto& entry : found) {
    const std::string name = entry.first.Scalar();
    const std::string entryPath = Concat(this->PathOf(aKey), ".", name);
    if (!seen.insert(name).second) {
      this->faults.Add(LineOf(entry.first), entryPath, "stands twice", "keep one of the two");
    }
    this->VisitSection(
      entry.second, entryPath, [&](YamlSection& aSection) { aVisit(name, aSection); });
  }
}

void
YamlSection::Finish()
{
  std::set<std::string> seen;
  for (const auto& entry : this->node) {
    const std::string key = entry.first.Scalar();
    const int line = LineOf(entry.first);
    if (!seen.insert(key).second) {
      this->faults.Add(line, this->PathOf(key), "stands twice", "keep one of the two");
    } else if (!this->known.contains(key)) {
      this->faults.Add(line, this->PathOf(key), "is not a known key", "remove it or mend its name");
    }
  }
}

void
YamlSection::AddFault(std::string_view aKey, std::string aProblem, std::string aRemedy)
{
  const YAML::Node found = this->Find(aKey);
  const int line = found.IsDefined() ? LineOf(found) : LineOf(this->node);
  this->faults.Add(line, this->PathOf(aKey), std::move(aProblem), std::move(aRemedy));
}

void
YamlSection::AddFaultAt(const std::vector<std::string>& aPath,
                        std::string aProblem,
                        std::string aRemedy)
{
  YAML::Node place = this->node;
  int line = LineOf(place);
  std::string key = this->path;
  for (const std::string& step : aPath) {
    std::size_t index = 0;
    const bool isItem = place.IsSequence() && absl::SimpleAtoi(step, &index);
    key = isItem ? Concat(key, "[", index, "]") : Concat(key, key.empty() ? "" : ".", step);
    const YAML::Node& readOnly = place;
    const YAML::Node next = isItem ? readOnly[index] : readOnly[step];
    if (!next.IsDefined()) {
      break;
    }
    line = LineOf(next);
    // Assignment would change the document, so the handle is pointed elsewhere.
    place.reset(next);
  }
  this->faults.Add(line, key, std::move(aProblem), std::move(aRemedy));
}

bool
YamlSection::Has(std::string_view aKey) const
{
  const YAML::Node& readOnly = this->node;
  const YAML::Node found = readOnly[std::string(aKey)];
  return found.IsDefined() && !found.IsNull();
}

YAML::Node
YamlSection::Find(std::string_view aKey)
{
  this->known.insert(std::string(aKey));
  // The constant view keeps a look-up from adding the key to the document.
  const YAML::Node& readOnly = this->node;
  return readOnly[std::string(aKey)];
}

YAML::Node
YamlSection::FindScalar(std::string_view aKey)
{
  const YAML::Node found = this->Find(aKey);
  if (found.IsDefined() && !found.IsScalar() && !found.IsNull()) {
    this->AddFault(aKey, "is not a plain value", "write one value after the colon");
    return YAML::Node(YAML::NodeType::Null);
  }
  return found;
}

std::string
YamlSection::PathOf(std::string_view aKey) const
{
  if (this->path.empty()) {
    return std::string(aKey);
  }
  return Concat(this->path, ".", aKey);
}

void
YamlSection::VisitSection(const YAML::Node& aNode,
                          const std::string& aPath,
                          const std::function<void(YamlSection&)>& aVisit)
{
  YamlSection section(aNode, aPath, this->faults);
  aVisit(section);
  section.Finish();
}

} // namespace damasklink::internal
