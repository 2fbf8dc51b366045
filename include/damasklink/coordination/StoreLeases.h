// Leases on stores with fencing numbers, replicated in the claims group of a zone.
#pragma once

#include <map>
#include <optional>

#include "damasklink/coordination/Replication.h"

namespace damasklink {

// Requests, renews or releases the lease on a store.
struct LeaseCommand
{
  StoreId store;
  HostId host;
  // Duration of the lease; zero releases it.
  Duration length{ 0 };

  bool operator==(const LeaseCommand&) const = default;
};

// The lease on a store. It expires at `until`, by the wall clock of the group's leader.
struct StoreLease
{
  HostId owner;
  FencingNumber fencing;
  WallTime until;

  bool operator==(const StoreLease&) const = default;
};

// Encode and decode commands and answers for the group's log. Decoding fails with Corrupt.
std::string
EncodeLeaseCommand(const LeaseCommand& aCommand);
Result<LeaseCommand>
DecodeLeaseCommand(std::string_view aBytes);
std::string
EncodeLease(const StoreLease& aLease);
Result<StoreLease>
DecodeLease(std::string_view aBytes);

// Grants each store to one host at a time. A command is evaluated at the time of its proposal on
// the group's leader. An owner must measure its lease on its own monotonic clock from before it
// sent the request, and stop earlier than the lease expires.
//
//   StoreLeases leases;
//   replicator.AddMachine(ClaimsGroupId(zone), StateMachineId::Leases, leases);
//   replicator.Propose(..., EncodeLeaseCommand({ store, host, seconds(5) }), ..., done);
//
// The answer is the resulting lease; the requesting host owns the store if it is named as the
// owner. The fencing number rises with each change of owner and each grant after the lease has
// expired.
class StoreLeases final : public ReplicatedStateMachine
{
public:
  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  // Returns the lease, expired or not, or nothing if the store was never leased.
  std::optional<StoreLease> Find(const StoreId& aStore) const;

private:
  std::map<StoreId, StoreLease> leases;
};

} // namespace damasklink
