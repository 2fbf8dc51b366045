// What control hosts tell entry hosts, and each other, of a serving deployment.
//
// A control host greets whoever connects and then tells its picture: first all of it, later what
// has changed. An entry host listens to several control hosts and merges what they say, so it needs
// no notice when one of them falls silent or behind.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "damasklink/coordination/DocumentTransfer.h"
#include "damasklink/coordination/EvacuationRegistry.h"
#include "damasklink/coordination/PromptParts.h"
#include "damasklink/coordination/RequestFingerprint.h"
#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"
#include "damasklink/state/Units.h"

namespace damasklink {

enum class HostRole : std::uint8_t
{
  Entry = 1,   // Relays calls; holds nothing that must survive.
  Control = 2, // Holds the replicated log and hears the targets.
};

// Control hosts by their zone; the zone is empty where it is not known yet.
using ControlHostZones = std::map<HostId, ZoneId>;

// The first message of both sides of a connection.
struct Greeting
{
  HostRole role = HostRole::Entry;
  ZoneId zone;
  // Those that the sender knows, itself among them.
  ControlHostZones controlHosts;

  bool operator==(const Greeting&) const = default;
};

// What a control host believes of a target. The numbers stand on the wire.
enum class TargetAvailability : std::uint8_t
{
  Usable = 1,
  Silent = 2,  // Not heard for too long, or another target announced itself from its address.
  Leaving = 3, // Said so, or signed off; stays so.
};

struct TargetUpdate
{
  TargetRecord record;
  TargetAvailability standing = TargetAvailability::Usable;
  // Gets no new work while its weights are exchanged.
  bool paused = false;

  bool operator==(const TargetUpdate&) const = default;
};

// What a control host knows of the parts in one store.
struct StoreUpdate
{
  Endpoint store;
  // False: the control host does not hear the store; nothing that was said of it counts any more.
  bool live = false;
  // The parts stated are all there are; else they are changes to what was stated before.
  bool whole = false;
  std::vector<SizedPart> added;
  std::vector<PartKey> removed;
  // Space for parts that are not whole: being written, or left by a writer that broke off.
  TokenCount reserved;

  // Returns the tokens of the parts that are added.
  TokenCount Tokens() const;

  bool operator==(const StoreUpdate&) const = default;
};

// A request that ran on a target when that ended.
struct CrashReport
{
  RequestFingerprint request;
  // Empty on open routes.
  WorkspaceId workspace;
  ServiceName service;
  TargetId target;
  // The start of the target that ended.
  Incarnation incarnation;

  bool operator==(const CrashReport&) const = default;
};

// A request ran well at a target of the service.
struct SuccessfulRun
{
  RequestFingerprint request;
  ServiceName service;

  // clang-tidy 14 mistakes the generated comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const SuccessfulRun&) const = default;
};

// What a target's answers say of how many requests it takes from all hosts together.
struct LimitReport
{
  TargetId target;
  // The start of the target that says so.
  Incarnation incarnation;
  // Nothing: it names no limit any more.
  std::optional<RequestRate> limit;

  bool operator==(const LimitReport&) const = default;
};

// The limit of a target, and which entry hosts may send to it.
struct TargetLimit
{
  TargetId target;
  Incarnation incarnation;
  // Nothing: the target names none, it is cold.
  std::optional<RequestRate> limit;
  // Of each of the hosts below; the others send nothing.
  RequestRate share;
  std::set<HostId> hosts;
  // How long it stayed cold from when it was last heard to be; zero for a warm one.
  Duration coldFor{ 0 };

  bool operator==(const TargetLimit&) const = default;
};

// Requests that crash targets.
struct CrashingRequests
{
  // Not to be sent to targets any more.
  std::set<RequestFingerprint> refused;
  // May come to be refused; a sound run is to be reported.
  std::set<RequestFingerprint> suspected;

  bool operator==(const CrashingRequests&) const = default;
};

struct ServingUpdate
{
  // The version of the configuration document that is in force, with every picture, so that an
  // entry host that missed a version knows of it. Zero when there is none yet.
  Revision documentVersion;
  std::map<ModelName, std::uint64_t> weights;
  std::vector<TargetUpdate> targets;
  // Entry hosts that the sender knows of, among which shared budgets are divided; 0 when not told.
  std::uint64_t entryHosts = 0;
  // The sender hears no leader: what it says may be behind what other control hosts say.
  bool isolated = false;
  ControlHostZones controlHosts;
  std::vector<StoreUpdate> stores;
  // All that the sender knows of them; nothing when it does not tell.
  std::optional<CrashingRequests> crashing;
  // All that are evacuated; nothing when the sender does not tell.
  std::optional<EvacuatedZones> evacuated;

  bool operator==(const ServingUpdate&) const = default;
};

// What one entry host has at one target, or several together.
struct InFlightLoad
{
  TargetId target;
  // Now, not since the last message: a lost one does no lasting harm.
  std::uint64_t requests = 0;
  TokenCount unread;
  // Tokens of the requests that take up the target's memory.
  TokenCount memory;
  // Parts of the prompts that were sent there since the host told before.
  std::vector<SizedPart> parts;

  bool operator==(const InFlightLoad&) const = default;
};

// How long first events took beyond the engines' own work, where parts were fetched from a store.
struct StoreFetchDelay
{
  // The store's address; empty stands for prompts that fetched nothing.
  std::string store;
  // First events since the teller told before, and their excess together, in milliseconds.
  std::uint64_t count = 0;
  double total = 0;

  bool operator==(const StoreFetchDelay&) const = default;
};

// How many hosts found a target gone, or back, since the teller told before.
struct TargetReachabilityReport
{
  TargetId target;
  std::uint64_t gone = 0;
  std::uint64_t back = 0;

  bool operator==(const TargetReachabilityReport&) const = default;
};

// What an entry host sends where, or the sum of that over the entry hosts that tell one control
// host. Control hosts pass sums on, so that each entry host knows the load of targets and what they
// hold, not only its own share of it.
struct LoadReport
{
  // Who tells.
  HostId host;
  std::vector<InFlightLoad> sends;
  std::vector<StoreFetchDelay> excesses;
  std::vector<TargetReachabilityReport> findings;
  // The teller tells another control host from now on; nothing of its words counts here any more.
  bool last = false;
  // To be passed on at once: a long prompt was sent, and calls that others send behind it before
  // they hear of it wait until it is read.
  bool urgent = false;
  // Since the teller told before.
  std::vector<CrashReport> crashes;
  // Suspected requests that ran well since then.
  std::vector<SuccessfulRun> sound;
  // What answers said of limits since then.
  std::vector<LimitReport> limitReports;
  // All limits and shares, for entry hosts; nothing when they are not told.
  std::optional<std::vector<TargetLimit>> limits;

  bool operator==(const LoadReport&) const = default;
};

// The entry hosts that are connected to one control host, for the other control hosts: together
// they know how many there are.
struct EntryHostList
{
  std::vector<HostId> hosts;

  bool operator==(const EntryHostList&) const = default;
};

using ServingMessage =
  std::variant<Greeting, ServingUpdate, LoadReport, EntryHostList, DocumentRequest, DocumentChunk>;

} // namespace damasklink
