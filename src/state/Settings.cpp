#include "damasklink/state/Settings.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <system_error>

#include <absl/strings/numbers.h>
#include <arpa/inet.h>

#include "YamlReader.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

using internal::FaultList;
using internal::YamlSection;

constexpr std::uint64_t kMostThreads = 20'000;
constexpr std::uint64_t kMostQueued = 1'000'000;

void
ReadEndpoint(YamlSection& aSection, std::string_view aKey, Endpoint& aTo)
{
  std::string text;
  aSection.ReadText(aKey, text);
  if (text.empty()) {
    return;
  }
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    aSection.AddFault(aKey, endpoint.error().message, endpoint.error().remedy);
    return;
  }
  aTo = endpoint.value();
}

void
ReadDigests(YamlSection& aSection, std::string_view aKey, std::vector<Digest>& aTo)
{
  aSection.ReadIds(aKey, aTo);
  for (const Digest& digest : aTo) {
    if (!IsDigest(digest)) {
      aSection.AddFault(aKey,
                        "holds an entry that is not a SHA-256 digest",
                        "write the 64 lower-case hex digits that sha256sum prints for the key");
    }
  }
}

void
ReadListen(YamlSection& aSection, ListenAddresses& aTo)
{
  constexpr std::string_view kRemedy = "write an address such as 127.0.0.1:8080";
  for (const std::string_view key : { "callers", "operators", "targets", "peers" }) {
    aSection.Require(key, kRemedy);
  }
  ReadEndpoint(aSection, "callers", aTo.callers);
  ReadEndpoint(aSection, "operators", aTo.operators);
  ReadEndpoint(aSection, "targets", aTo.targets);
  ReadEndpoint(aSection, "peers", aTo.peers);
}

void
ReadPeer(YamlSection& aSection, PeerSettings& aTo)
{
  for (const std::string_view key : { "host", "zone", "peers", "operators" }) {
    aSection.Require(key, "name the peer's host, zone and both addresses");
  }
  aSection.ReadId("host", aTo.host);
  aSection.ReadId("zone", aTo.zone);
  ReadEndpoint(aSection, "peers", aTo.peers);
  ReadEndpoint(aSection, "operators", aTo.operators);
  aSection.ReadFlag("disk", aTo.disk);
}

void
ReadLimits(YamlSection& aSection, HostLimits& aTo)
{
  aSection.ReadCount("caller_threads", aTo.callerThreads, 1, kMostThreads);
  aSection.ReadSize("request_body", aTo.requestBody);
  aSection.ReadCount("queued_requests", aTo.queuedRequests, 1, kMostQueued);
  aSection.ReadSize("kept_answer", aTo.keptAnswer);
  aSection.ReadDuration("caller_idle", aTo.callerIdle);
  aSection.ReadDuration("shutdown", aTo.shutdown);
}

void
ReadTimeouts(YamlSection& aSection, HostTimeouts& aTo)
{
  aSection.ReadDuration("connect", aTo.connect);
  aSection.ReadDuration("first_token", aTo.firstToken);
  aSection.ReadDuration("between_tokens", aTo.betweenTokens);
  aSection.ReadDuration("target_silence", aTo.targetSilence);
  aSection.ReadDuration("heartbeat", aTo.heartbeat);
  aSection.ReadDuration("election_least", aTo.electionLeast);
  aSection.ReadDuration("election_most", aTo.electionMost);
  aSection.ReadDuration("key_retention", aTo.keyRetention);
  if (aTo.electionMost <= aTo.electionLeast) {
    aSection.AddFault(
      "election_most", "is not above election_least", "make it at least twice election_least");
  }
  if (aTo.electionLeast < 2 * aTo.heartbeat) {
    aSection.AddFault("election_least",
                      "is below two heartbeats",
                      "raise it, or every lost heartbeat starts an election");
  }
}

const PeerSettings*
FindSelf(const HostSettings& aSettings)
{
  const auto isSelf = [&](const PeerSettings& aPeer) { return aPeer.host == aSettings.host; };
  const auto found = std::find_if(aSettings.peers.begin(), aSettings.peers.end(), isSelf);
  return found == aSettings.peers.end() ? nullptr : &*found;
}

void
CheckPeers(YamlSection& aSection, const HostSettings& aSettings)
{
  std::set<HostId> seen;
  for (const PeerSettings& peer : aSettings.peers) {
    if (!seen.insert(peer.host).second) {
      aSection.AddFault("peers",
                        Concat("names host '", peer.host.Value(), "' twice"),
                        "keep one entry for each host");
    }
  }
  if (aSettings.peers.empty() || aSettings.host.Empty()) {
    return;
  }
  const PeerSettings* self = FindSelf(aSettings);
  if (self == nullptr) {
    aSection.AddFault("peers",
                      Concat("does not list this host '", aSettings.host.Value(), "'"),
                      "list all hosts, this one among them, alike on each host");
    return;
  }
  if (self->disk != !aSettings.dataFolder.empty()) {
    aSection.AddFault("data_folder",
                      "does not agree with 'disk' of this host in peers",
                      "set disk: true where a data_folder is given, and only there");
  }
  if (self->zone != aSettings.zone) {
    aSection.AddFault("zone", "does not agree with this host's entry in peers", "write one zone");
  }
}

void
ReadHost(YamlSection& aSection, HostSettings& aTo)
{
  aSection.Require("host", "give this host a name that no other has");
  aSection.Require("zone", "name the availability zone this host stands in");
  aSection.Require("listen", "give the four addresses: callers, operators, targets, peers");
  aSection.Require("operator_keys", "list the digest of at least one operator key");
  aSection.ReadId("host", aTo.host);
  aSection.ReadId("zone", aTo.zone);
  aSection.ReadSection("listen", [&](YamlSection& aListen) { ReadListen(aListen, aTo.listen); });
  aSection.ReadSections("peers",
                        [&](YamlSection& aPeer) { ReadPeer(aPeer, aTo.peers.emplace_back()); });
  aSection.ReadText("data_folder", aTo.dataFolder);
  ReadDigests(aSection, "operator_keys", aTo.operatorKeys);
  ReadDigests(aSection, "target_keys", aTo.targetKeys);
  aSection.ReadText("initial_tree", aTo.initialTree);
  aSection.ReadText("log_level", aTo.logLevel);
  aSection.ReadSection("limits", [&](YamlSection& aLimits) { ReadLimits(aLimits, aTo.limits); });
  aSection.ReadSection("timeouts",
                       [&](YamlSection& aTimes) { ReadTimeouts(aTimes, aTo.timeouts); });
  CheckPeers(aSection, aTo);
  aSection.Finish();
}

// A host without peers is a system of one.
void
AddSelfWhenAlone(HostSettings& aSettings)
{
  if (!aSettings.peers.empty()) {
    return;
  }
  aSettings.peers.push_back(PeerSettings{ aSettings.host,
                                          aSettings.zone,
                                          aSettings.listen.peers,
                                          aSettings.listen.operators,
                                          !aSettings.dataFolder.empty() });
}

} // namespace

std::string
FormatEndpoint(const Endpoint& aEndpoint)
{
  return Concat(aEndpoint.address, ":", aEndpoint.port);
}

Result<Endpoint>
ParseEndpoint(std::string_view aText)
{
  constexpr std::string_view kRemedy = "write an IP number and a port, such as 127.0.0.1:8080";
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(ErrorKind::InvalidArgument, "has no port", std::string(kRemedy));
  }
  const std::string address(aText.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, address.c_str(), &parsed) != 1) {
    return Fail(ErrorKind::InvalidArgument,
                Concat("'", address, "' is not an IP number"),
                std::string(kRemedy));
  }
  constexpr std::uint32_t kMostPort = 65'535;
  std::uint32_t port = 0;
  if (!absl::SimpleAtoi(ForAbsl(aText.substr(colon + 1)), &port) || port == 0 || port > kMostPort) {
    return Fail(ErrorKind::InvalidArgument, "has a bad port", std::string(kRemedy));
  }
  return Endpoint{ address, static_cast<std::uint16_t>(port) };
}

Parsed<HostSettings>
ParseHostSettings(const std::string& aText, const std::string& aFile)
{
  Parsed<HostSettings> parsed;
  FaultList faults(aFile);
  const YAML::Node root = internal::LoadYaml(aText, faults);
  parsed.faults = faults.Take();
  if (!parsed.Ok()) {
    return parsed;
  }
  FaultList content(aFile);
  YamlSection section(root, "", content);
  ReadHost(section, parsed.value);
  AddSelfWhenAlone(parsed.value);
  parsed.faults = content.Take();
  return parsed;
}

Parsed<HostSettings>
LoadHostSettings(const std::string& aFile)
{
  const auto text = ReadWholeFile(aFile);
  if (!text) {
    Parsed<HostSettings> parsed;
    parsed.faults.push_back(Fault{ aFile, 0, "", text.error().message, text.error().remedy });
    return parsed;
  }
  Parsed<HostSettings> parsed = ParseHostSettings(text.value(), aFile);
  std::string& folder = parsed.value.dataFolder;
  if (!folder.empty()) {
    // An absolute path stays as it is.
    folder = (std::filesystem::path(aFile).parent_path() / folder).string();
  }
  std::string& initialTree = parsed.value.initialTree;
  if (!initialTree.empty()) {
    initialTree = (std::filesystem::path(aFile).parent_path() / initialTree).string();
  }
  return parsed;
}

Result<std::string>
ReadWholeFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream content;
  if (file) {
    content << file.rdbuf();
  }
  if (!file || file.bad()) {
    return Fail(ErrorKind::Storage,
                Concat("cannot read ", aPath, ": ", std::generic_category().message(errno)),
                "check the path and its permissions");
  }
  return content.str();
}

} // namespace damasklink
