#include "ConfigClient.h"

#include <algorithm>
#include <filesystem>
#include <iostream>

#include "damasklink/state/Text.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBusy = 429;
constexpr int kStatusServerSide = 500;
constexpr ByteCount kMaxAnswer{ 64 * kMebibyte };
// Longer than a host waits for the group, and for other hosts to apply a revision.
constexpr Duration kReadTimeout = std::chrono::seconds(40);

} // namespace

ConfigClient::ConfigClient(const Arguments& aArguments)
  : hosts(HostsOf(aArguments))
  , key(OperatorKey(aArguments))
  , format(OutputOf(aArguments))
{
}

Result<std::string>
ConfigClient::Call(const std::string& aMethod, const std::string& aPath, const std::string& aBody)
{
  Error last{ ErrorKind::Unavailable, "no host was named", "give --host IP:PORT" };
  for (const Endpoint& host : this->hosts) {
    HttpCall call;
    call.endpoint = host;
    call.method = aMethod;
    call.path = aPath;
    call.headers = { { "authorization", Concat("Bearer ", this->key) },
                     { "content-type", "application/json" } };
    call.body = aBody;
    call.readTimeout = kReadTimeout;
    auto answer = CallHttp(std::move(call), kMaxAnswer);
    if (!answer) {
      if (!this->answered) {
        last = answer.error();
      }
      continue;
    }
    this->answered = true;
    if (answer.value().status == kStatusOk) {
      return std::move(answer.value().body);
    }
    last = ParseErrorBody(answer.value().status, answer.value().body);
    const bool tryNext =
      answer.value().status >= kStatusServerSide || answer.value().status == kStatusBusy;
    if (!tryNext) {
      break;
    }
  }
  return Fail(std::move(last));
}

Result<Revision>
ConfigClient::Change(const ChangeRequest& aRequest)
{
  auto body = this->Call("POST", "/v1/config/changes", FormatChangeRequest(aRequest));
  if (!body) {
    return Fail(body.error());
  }
  return ParseAccepted(body.value());
}

Result<SubtreeList>
ConfigClient::List()
{
  auto body = this->Call("GET", "/v1/config/subtrees", "");
  if (!body) {
    return Fail(body.error());
  }
  return ParseSubtreeList(body.value());
}

Result<SubtreeView>
ConfigClient::Get(const SubtreeName& aName)
{
  auto body = this->Call("GET", Concat("/v1/config/subtrees/", FormatSubtreeName(aName)), "");
  if (!body) {
    return Fail(body.error());
  }
  return ParseSubtreeView(body.value());
}

Result<std::vector<KeyHolder>>
ConfigClient::KeyHolders(const std::vector<Digest>& aKeys)
{
  auto body = this->Call("POST", "/v1/config/key-holders", FormatKeys(aKeys));
  if (!body) {
    return Fail(body.error());
  }
  return ParseKeyHolders(body.value());
}

Result<std::vector<HistoryEntry>>
ConfigClient::History(const std::string& aSubtree, const std::string& aMost)
{
  auto body =
    this->Call("GET", Concat("/v1/config/history?most=", aMost, "&subtree=", aSubtree), "");
  if (!body) {
    return Fail(body.error());
  }
  return ParseHistory(body.value());
}

Result<HostStatus>
ConfigClient::Status()
{
  auto body = this->Call("GET", "/v1/config/status", "");
  if (!body) {
    return Fail(body.error());
  }
  return ParseHostStatus(body.value());
}

Result<InForceReport>
ConfigClient::InForce(Revision aRevision, const std::string& aWait)
{
  auto body = this->Call(
    "GET", Concat("/v1/config/in-force?revision=", aRevision.Value(), "&wait=", aWait), "");
  if (!body) {
    return Fail(body.error());
  }
  return ParseInForceReport(body.value());
}

ExitCode
ConfigClient::Report(const Error& aError) const
{
  std::cerr << "damasklink: " << Describe(aError) << '\n';
  return this->answered ? ExitCode::Refused : ExitCode::Unreachable;
}

Result<std::vector<ConfigSource>>
ReadConfigSources(const std::string& aPath)
{
  std::vector<std::string> files;
  std::error_code code;
  if (std::filesystem::is_directory(aPath, code)) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(aPath, code)) {
      if (entry.is_regular_file() && entry.path().extension() == ".yaml") {
        files.push_back(entry.path());
      }
    }
    std::sort(files.begin(), files.end());
  } else {
    files.push_back(aPath);
  }
  std::vector<ConfigSource> sources;
  for (const std::string& file : files) {
    auto text = ReadWholeFile(file);
    if (!text) {
      return Fail(text.error());
    }
    sources.push_back(ConfigSource{ file, std::move(text.value()) });
  }
  if (sources.empty()) {
    return Fail(ErrorKind::NotFound,
                Concat(aPath, " has no .yaml file"),
                "name a file, or a folder of subtrees");
  }
  return sources;
}

namespace {

// Returns the defaults in force, empty if there is no such subtree.
Result<SubtreePolicy>
DefaultsInForce(ConfigClient& aClient)
{
  auto view = aClient.Get(SubtreeName{ SubtreeKind::Defaults, {} });
  if (!view) {
    return Fail(view.error());
  }
  if (view.value().content.empty()) {
    return SubtreePolicy();
  }
  return ParseConfigTree(view.value().content, "defaults in force").value.defaults;
}

// Returns the version from which each file was made, for files with one subtree.
std::map<SubtreeName, Revision>
BaseVersionsOf(const std::vector<ConfigSource>& aSources, const SubtreePolicy& aDefaults)
{
  std::map<SubtreeName, Revision> versions;
  for (const ConfigSource& source : aSources) {
    const auto version = ParseMadeFrom(source);
    const auto subtrees = SplitTree(ParseConfigSources({ source }, aDefaults).value);
    if (version && subtrees.size() == 1) {
      versions[subtrees.front().name] = *version;
    }
  }
  return versions;
}

std::vector<Digest>
KeysOf(const ConfigTree& aTree)
{
  std::vector<Digest> keys;
  for (const auto& [id, workspace] : aTree.workspaces) {
    for (const auto& [teamId, team] : workspace.teams) {
      keys.insert(keys.end(), team.keys.begin(), team.keys.end());
    }
  }
  return keys;
}

// Checks that no key of the tree belongs to a workspace in force that is not in the tree, and
// prints each that does. Conflicts within the tree were found when the files were parsed.
ExitCode
CheckKeyHolders(ConfigClient& aClient, const ConfigTree& aTree)
{
  auto holders = aClient.KeyHolders(KeysOf(aTree));
  if (!holders) {
    return aClient.Report(holders.error());
  }
  ExitCode code = ExitCode::Done;
  for (const KeyHolder& holder : holders.value()) {
    if (!aTree.workspaces.contains(holder.workspace)) {
      std::cerr << "key " << holder.key << " belongs to workspace '" << holder.workspace
                << "'; give each team keys of its own\n";
      code = ExitCode::Refused;
    }
  }
  return code;
}

} // namespace

ExitCode
PlanChanges(ConfigClient& aClient, const std::string& aPath, std::vector<PlannedChange>& aTo)
{
  auto sources = ReadConfigSources(aPath);
  if (!sources) {
    std::cerr << "damasklink: " << Describe(sources.error()) << '\n';
    return ExitCode::InvalidUsage;
  }
  auto defaults = DefaultsInForce(aClient);
  if (!defaults) {
    return aClient.Report(defaults.error());
  }
  const auto parsed = ParseConfigSources(sources.value(), defaults.value());
  for (const Fault& fault : parsed.faults) {
    std::cerr << FormatFault(fault) << '\n';
  }
  if (!parsed.Ok()) {
    std::cerr << "damasklink: nothing was applied\n";
    return ExitCode::Refused;
  }
  if (const ExitCode keys = CheckKeyHolders(aClient, parsed.value); keys != ExitCode::Done) {
    std::cerr << "damasklink: nothing was applied\n";
    return keys;
  }
  const auto baseVersions = BaseVersionsOf(sources.value(), defaults.value());
  for (Subtree& subtree : SplitTree(parsed.value)) {
    auto view = aClient.Get(subtree.name);
    if (!view) {
      return aClient.Report(view.error());
    }
    const auto found = baseVersions.find(subtree.name);
    const Revision inForce = view.value().version;
    const Revision base = found == baseVersions.end() ? inForce : found->second;
    std::string content = FormatSubtree(subtree);
    aTo.push_back(PlannedChange{
      std::move(subtree), std::move(content), inForce, base, std::move(view.value().content) });
  }
  return ExitCode::Done;
}

} // namespace damasklink
