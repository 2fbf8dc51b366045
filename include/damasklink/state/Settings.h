// The settings of one host: who it is, where it listens, who its peers are, what its limits are.
//
// Settings stay as they are while the process runs; what operators change while it runs is the
// configuration tree (ConfigTree.h). docs/CONFIGURATION.md lists every key.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Fault.h"
#include "damasklink/state/Ids.h"
#include "damasklink/state/Units.h"

namespace damasklink {

// An IP number and a port.
struct Endpoint
{
  std::string address;
  std::uint16_t port = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Endpoint&) const = default;
};

// Returns "address:port".
std::string
FormatEndpoint(const Endpoint& aEndpoint);

// Returns the endpoint that "127.0.0.1:8080" names; host names are refused with InvalidArgument.
Result<Endpoint>
ParseEndpoint(std::string_view aText);

// Where a host listens. Each has its own port, so that one kind of traffic can be cut alone.
struct ListenAddresses
{
  Endpoint callers;   // Prompts and services.
  Endpoint operators; // Operators, metrics, health.
  Endpoint targets;   // Announcements of targets and stores.
  Endpoint peers;     // Other hosts of the system.
};

// Another host of the system, or this one: the list holds all of them.
struct PeerSettings
{
  HostId host;
  ZoneId zone;
  Endpoint peers;
  Endpoint operators;
  // Whether the host has a data folder and so votes in the groups.
  bool disk = false;
};

// Bounds that keep one host's memory and threads flat.
struct HostLimits
{
  std::uint64_t callerThreads = 2000;
  ByteCount requestBody{ 8 * kMebibyte };
  std::uint64_t queuedRequests = 1024;
  ByteCount keptAnswer{ 256 * kKibibyte };
  Duration callerIdle = std::chrono::seconds(30);
  Duration shutdown = std::chrono::seconds(30);
};

// How long this host waits for others.
struct HostTimeouts
{
  Duration connect = std::chrono::milliseconds(500);
  Duration firstToken = std::chrono::seconds(30);
  Duration betweenTokens = std::chrono::seconds(10);
  Duration targetSilence = std::chrono::seconds(2);
  Duration heartbeat = std::chrono::milliseconds(500);
  Duration electionLeast = std::chrono::milliseconds(1000);
  Duration electionMost = std::chrono::milliseconds(2000);
  Duration keyRetention = std::chrono::hours(48);
};

struct HostSettings
{
  HostId host;
  ZoneId zone;
  ListenAddresses listen;
  std::vector<PeerSettings> peers;
  // Empty on a host without a disk.
  std::string dataFolder;
  // Digests of the keys that operators and targets present.
  std::vector<Digest> operatorKeys;
  std::vector<Digest> targetKeys;
  // File with the tree that the first leader applies while no tree exists; may be empty. Written
  // relative to the settings file, which LoadHostSettings() resolves.
  std::string initialTree;
  std::string logLevel = "info";
  HostLimits limits;
  HostTimeouts timeouts;
};

// Parses the text of a settings file; aFile is used in faults only. All faults are returned.
Parsed<HostSettings>
ParseHostSettings(const std::string& aText, const std::string& aFile);

// Reads and parses a settings file; a file that cannot be read is one fault. A relative data folder
// is taken from the folder of the file.
Parsed<HostSettings>
LoadHostSettings(const std::string& aFile);

// Returns the whole content of a file, or Storage with the reason.
Result<std::string>
ReadWholeFile(const std::string& aPath);

} // namespace damasklink
