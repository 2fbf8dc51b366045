// Who owns which store: leases with fencing numbers, replicated in a zone's claims group.
#pragma once

#include <map>
#include <optional>

#include "damasklink/coordination/Replication.h"

namespace damasklink {

// A host's wish to own a store, or to stop owning it.
struct LeaseCommand
{
  StoreId store;
  HostId host;
  // Zero gives the lease back.
  Duration length{ 0 };

  bool operator==(const LeaseCommand&) const = default;
};

// Who owns a store, and until when by the group's clock.
struct StoreLease
{
  HostId owner;
  FencingNumber fencing;
  WallTime until;

  bool operator==(const StoreLease&) const = default;
};

// Returns the command, or an answer, as the group's log holds it.
std::string
EncodeLeaseCommand(const LeaseCommand& aCommand);
Result<LeaseCommand>
DecodeLeaseCommand(std::string_view aBytes);
std::string
EncodeLease(const StoreLease& aLease);
Result<StoreLease>
DecodeLease(std::string_view aBytes);

// Grants each store to one host at a time. Time is that of the group's leader when it proposed; an
// owner must count its lease from before it asked, on its own monotonic clock, and stop earlier.
//
//   StoreLeases leases;
//   replicator.AddMachine(ClaimsGroupId(zone), StateMachineId::Leases, leases);
//   replicator.Propose(..., EncodeLeaseCommand({ store, host, seconds(5) }), ..., done);
//
// The answer is the lease as it now stands; the asking host owns it when it is named there. Each
// change of owner, and each grant after a lapse, has a higher fencing number.
class StoreLeases final : public ReplicatedStateMachine
{
public:
  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  // Returns the lease, or nothing when nobody ever held the store.
  std::optional<StoreLease> Find(const StoreId& aStore) const;

private:
  std::map<StoreId, StoreLease> leases;
};

} // namespace damasklink
