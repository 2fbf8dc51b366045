// The claim claims as a replicated machine: encoding of its commands, answers and snapshots.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/ClaimRegistry.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

std::string
EncodeClaimCommand(const ClaimCommand& aCommand);

// Fails with Corrupt when the bytes do not verify.
Result<ClaimCommand>
DecodeClaimCommand(std::string_view aBytes);

std::string
EncodeClaimReply(const ClaimReply& aReply);

// Fails with Corrupt when the bytes do not verify.
Result<ClaimReply>
DecodeClaimReply(std::string_view aBytes);

// Puts a ClaimRegistry behind the replicated log.
//
//   ClaimStateMachine machine;
//   replicator.AddMachine(ClaimsGroupId(zone), StateMachineId::Claims, machine);
//
// A command that does not decode is answered with the verdict Recorded and changes nothing.
class ClaimStateMachine final : public ReplicatedStateMachine
{
public:
  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override;
  std::string Save() const override;
  Result<void> Load(std::string_view aSnapshot) override;

  const ClaimRegistry& Claims() const { return this->claims; }

private:
  ClaimRegistry claims;
};

} // namespace damasklink
