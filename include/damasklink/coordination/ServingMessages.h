// The messages that control hosts and entry hosts of a serving deployment exchange.
//
// Both sides of a new connection send a Greeting. A control host then sends a ServingUpdate with
// its full state, and later ones with the changes. An entry host merges the updates of several
// control hosts, so it needs no notification when one of them stops sending or is behind.
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
#include "damasklink/coordination/TargetSubsets.h"
#include "damasklink/coordination/WeightVersionAges.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"
#include "damasklink/state/Units.h"

namespace damasklink {

enum class HostRole : std::uint8_t
{
  Entry = 1,   // Relays calls; has no durable state.
  Control = 2, // Stores the replicated log and receives the heartbeats of targets.
};

// The known control hosts and their zones; a zone that is not known yet is empty.
using ControlHostZones = std::map<HostId, ZoneId>;

// Entry hosts and their zones; a zone that is not known is empty.
using EntryHostZones = std::map<HostId, ZoneId>;

// The first message that each side of a connection sends.
struct Greeting
{
  HostRole role = HostRole::Entry;
  ZoneId zone;
  // The control hosts known to the sender, including itself.
  ControlHostZones controlHosts;

  bool operator==(const Greeting&) const = default;
};

// The availability of a target as a control host sees it. The numbers are sent between hosts.
enum class TargetAvailability : std::uint8_t
{
  Usable = 1,
  Silent = 2,  // Heartbeats are overdue, or another target has announced itself from its address.
  Leaving = 3, // Has announced its departure or signed off; final.
};

// The state of one target.
struct TargetUpdate
{
  TargetRecord record;
  TargetAvailability standing = TargetAvailability::Usable;
  // Gets no new work while its weights are replaced.
  bool paused = false;

  bool operator==(const TargetUpdate&) const = default;
};

// The parts in one store that a control host knows of, in full or as changes.
struct StoreUpdate
{
  Endpoint store;
  // False if the control host has no contact with the store; earlier updates of it are then void.
  bool live = false;
  // True if `added` is the full content; otherwise this is a change to earlier updates.
  bool whole = false;
  std::vector<SizedPart> added;
  std::vector<PartKey> removed;
  // Space taken by incomplete parts: being written, or left by a writer that was interrupted.
  TokenCount reserved;

  // Returns the total number of tokens of the added parts.
  TokenCount Tokens() const;

  bool operator==(const StoreUpdate&) const = default;
};

// A request that was running on a target when that crashed.
struct CrashReport
{
  // Zero if only the parts of the request are reported.
  RequestFingerprint request;
  // Empty on open routes.
  WorkspaceId workspace;
  ServiceName service;
  TargetId target;
  // The incarnation of the target that crashed.
  Incarnation incarnation;
  // Parts of the prompt that other requests may have, too, in its order. Empty if the request had
  // been answered for some time: a part crashes its targets at the beginning.
  std::vector<RequestFingerprint> parts;
  // How long before the report the request was sent to the target, and its answer broke off.
  Duration sentAgo{ 0 };
  Duration brokenAgo{ 0 };
  // The target fell silent. Requests that were sent to it afterwards found it so, too.
  bool silent = false;
  // How long before the report the target last sent something for the request; zero if it never
  // did.
  Duration heardAgo{ 0 };

  // Returns the report as it must be sent after aHeld.
  CrashReport Aged(Duration aHeld) const
  {
    CrashReport aged = *this;
    aged.sentAgo += aHeld;
    aged.brokenAgo += aHeld;
    aged.heardAgo += aged.heardAgo > Duration::zero() ? aHeld : Duration::zero();
    return aged;
  }

  bool operator==(const CrashReport&) const = default;
};

// A suspected request, or one with a suspected part, that completed at a target of the service
// without a crash.
struct SuccessfulRun
{
  RequestFingerprint request;
  ServiceName service;

  // clang-tidy 14 mistakes the generated comparison with zero for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const SuccessfulRun&) const = default;
};

// Names a stream by the request that brought its first event.
using StreamKey = NumberId<struct StreamKeyTag>;

// The software version that began a stream. Events of two versions do not fit together, so a caller
// that resumes the stream must get to the same version.
struct StreamOrigin
{
  StreamKey stream;
  ServiceName service;
  SoftwareVersion software;
  // How much longer the caller may resume the stream.
  Duration keepFor{ 0 };

  bool operator==(const StreamOrigin&) const = default;
};

// The request rate that a target accepts from all hosts in total, as its answers state it.
struct LimitReport
{
  TargetId target;
  // The incarnation of the target that states it.
  Incarnation incarnation;
  // Empty if the target no longer states a limit.
  std::optional<RequestRate> limit;

  bool operator==(const LimitReport&) const = default;
};

// A service whose targets are brittle, as their answers state it: a target fails if it has to
// reject more requests than it tolerates.
struct BrittleService
{
  ServiceName service;
  // Rejections per second and target.
  RequestRate tolerated;
  // Mean time that a request takes; zero if it is not known yet.
  Duration runTime{ 0 };

  bool operator==(const BrittleService&) const = default;
};

// The rate limit of a target and the entry hosts among which it is divided.
struct TargetLimit
{
  TargetId target;
  Incarnation incarnation;
  // Empty if the target states none: it is cold.
  std::optional<RequestRate> limit;
  // The share of each of the hosts below; other hosts must not send to the target.
  RequestRate share;
  std::set<HostId> hosts;
  // How long the target stays cold, counted from the last report that it is; zero if it is warm.
  Duration coldFor{ 0 };

  bool operator==(const TargetLimit&) const = default;
};

// Requests, and parts of prompts, that are known or suspected to crash targets.
struct CrashingRequests
{
  // Must not be sent to targets any more.
  std::set<RequestFingerprint> refused;
  // May be refused later; entry hosts report each successful run of them.
  std::set<RequestFingerprint> suspected;

  bool operator==(const CrashingRequests&) const = default;
};

// The state of a deployment as one control host sees it, in full or as changes.
struct ServingUpdate
{
  // The version of the configuration document that is in force. Included in every update, so that
  // an entry host that missed a version learns of it. Zero if there is none yet.
  Revision documentVersion;
  // The recent versions of each model's weights, older ones first; empty if not included.
  std::vector<AnnouncedWeights> weights;
  std::vector<TargetUpdate> targets;
  // The number of known entry hosts, among which shared budgets are divided; 0 if not included.
  std::uint64_t entryHosts = 0;
  // The sender has no contact with a leader, so its state may be behind that of other control
  // hosts.
  bool isolated = false;
  ControlHostZones controlHosts;
  std::vector<StoreUpdate> stores;
  // The complete sets; empty if not included.
  std::optional<CrashingRequests> crashing;
  // All evacuated zones; empty if not included.
  std::optional<EvacuatedZones> evacuated;
  // The numbers of subsets, by which the sender selects the targets of its updates for an entry
  // host; empty if not included.
  SubsetCounts subsets;

  bool operator==(const ServingUpdate&) const = default;
};

// The load that one entry host, or several in total, have in flight at one target.
struct InFlightLoad
{
  TargetId target;
  // The current number, not a change, so that a lost message has no lasting effect.
  std::uint64_t requests = 0;
  // Prompt tokens that wait for prefill.
  TokenCount unread;
  // Tokens of the requests that occupy memory of the target.
  TokenCount memory;
  // Parts of the prompts sent there since the previous report.
  std::vector<SizedPart> parts;

  bool operator==(const InFlightLoad&) const = default;
};

// The additional time to the first event of calls whose prompt parts were fetched from a store,
// beyond the engine's own work.
struct StoreFetchDelay
{
  // The address of the store; empty for prompts that fetched no parts.
  std::string store;
  // The number of first events since the previous report, and their total additional time in
  // milliseconds.
  std::uint64_t count = 0;
  double total = 0;

  bool operator==(const StoreFetchDelay&) const = default;
};

// How many hosts found a target unreachable, or reachable again, since the previous report.
struct TargetReachabilityReport
{
  TargetId target;
  std::uint64_t gone = 0;
  std::uint64_t back = 0;

  bool operator==(const TargetReachabilityReport&) const = default;
};

// The load of an entry host, or the sum over all entry hosts that report to one control host.
// Control hosts distribute the sums, so that each entry host knows the total load of the targets
// and the parts they cache, not only its own share.
struct LoadReport
{
  // The reporting host.
  HostId host;
  std::vector<InFlightLoad> sends;
  std::vector<StoreFetchDelay> excesses;
  std::vector<TargetReachabilityReport> findings;
  // The last report to this control host: the sender reports to another one from now on, and its
  // earlier reports here are void.
  bool last = false;
  // Forward this report at once: a long prompt was sent, and calls that other hosts send to the
  // same target before they know of it wait for its prefill.
  bool urgent = false;
  // Crashes since the previous report.
  std::vector<CrashReport> crashes;
  // Successful runs of suspected requests since the previous report.
  std::vector<SuccessfulRun> sound;
  // Limits stated in answers since the previous report.
  std::vector<LimitReport> limitReports;
  // Services whose targets stated in answers since the previous report that they are brittle.
  std::vector<BrittleService> brittle;
  // Streams that were begun since the previous report.
  std::vector<StreamOrigin> origins;
  // All limits and shares, sent to entry hosts; empty if not included.
  std::optional<std::vector<TargetLimit>> limits;

  bool operator==(const LoadReport&) const = default;
};

// The entry hosts connected to one control host. Control hosts exchange these lists to know the
// total number of entry hosts.
struct EntryHostList
{
  std::vector<HostId> hosts;
  // The zone of each host; empty if the sender does not tell them.
  std::vector<ZoneId> zones;
  // Those of the hosts that reach no target of some service.
  std::vector<HostId> cutOff;

  bool operator==(const EntryHostList&) const = default;
};

// An entry host asks to which other entry hosts it may forward calls.
struct ForwardingHostsRequest
{
  // The sender reaches no target of some service, so nobody should forward calls to it.
  bool cutOff = false;

  bool operator==(const ForwardingHostsRequest&) const = default;
};

// Some entry hosts that take calls, as far as the control host knows.
struct ForwardingHosts
{
  EntryHostZones hosts;

  bool operator==(const ForwardingHosts&) const = default;
};

// Numbers the lookups of an entry host.
using LookupNumber = NumberId<struct LookupNumberTag>;

// An entry host asks which software version began a stream of the service.
struct StreamOriginRequest
{
  LookupNumber number;
  // Empty if the caller does not name the stream that it resumes.
  std::optional<StreamKey> stream;
  ServiceName service;

  bool operator==(const StreamOriginRequest&) const = default;
};

struct StreamOriginResponse
{
  LookupNumber number;
  // Empty if the control host does not know the origin.
  std::optional<StreamOrigin> origin;
  // The versions that the control host has seen of the service while such a stream may have begun.
  std::set<SoftwareVersion> versions;
  // Whether it has heard of all targets during that time.
  bool complete = false;

  bool operator==(const StreamOriginResponse&) const = default;
};

using ServingMessage = std::variant<Greeting,
                                    ServingUpdate,
                                    LoadReport,
                                    EntryHostList,
                                    DocumentRequest,
                                    DocumentChunk,
                                    ForwardingHostsRequest,
                                    ForwardingHosts,
                                    StreamOriginRequest,
                                    StreamOriginResponse>;

} // namespace damasklink
