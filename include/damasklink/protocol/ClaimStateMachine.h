// The claim registry as a replicated state machine, and the encoding of its commands and replies.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/ClaimRegistry.h"
#include "damasklink/coordination/Replication.h"

namespace damasklink {

std::string
EncodeClaimCommand(const ClaimCommand& aCommand);

// Fails with Corrupt when the bytes are invalid.
Result<ClaimCommand>
DecodeClaimCommand(std::string_view aBytes);

std::string
EncodeClaimReply(const ClaimReply& aReply);

// Fails with Corrupt when the bytes are invalid.
Result<ClaimReply>
DecodeClaimReply(std::string_view aBytes);

// Applies the commands of the replicated log to a ClaimRegistry. Not thread-safe.
//
//   ClaimStateMachine machine;
//   replicator.AddMachine(ClaimsGroupId(zone), StateMachineId::Claims, machine);
//
// A command that cannot be decoded changes nothing; its reply has the verdict Recorded. Load()
// fails with Corrupt and then keeps the present state.
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
