#include <iostream>

#include "ConfigClient.h"
#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

// Formats an age in whole seconds; more precision is of no use to a reader.
std::string
AgeText(Duration aAge)
{
  return FormatDuration(std::chrono::duration_cast<std::chrono::seconds>(aAge));
}

void
PrintStatus(const HostStatus& aStatus)
{
  std::cout << "host " << aStatus.host << " zone " << aStatus.zone << " revision "
            << aStatus.revision << '\n';
  if (aStatus.stale) {
    std::cout << "STALE: no contact with the leader, last confirmed "
              << AgeText(aStatus.confirmedAge)
              << " ago; serving the revision above, changes are refused\n";
  } else {
    std::cout << "confirmed by the leader " << AgeText(aStatus.confirmedAge) << " ago\n";
  }
  std::cout << "leader " << (aStatus.leader.Empty() ? "unknown" : aStatus.leader.Value())
            << " term " << aStatus.term << (aStatus.leaseHeld ? " (this host)\n" : "\n");
  for (const PeerStatus& peer : aStatus.peers) {
    std::cout << "host " << peer.host << (peer.up ? " up" : " SILENT") << " revision "
              << peer.revision << '\n';
  }
  for (const TargetStatus& target : aStatus.targets) {
    std::cout << target.kind << ' ' << target.id << " zone " << target.zone
              << (target.usable ? " usable" : " NOT usable")
              << (target.models.empty() ? "" : " serves ") << target.models << '\n';
  }
  for (const RolloutStatus& rollout : aStatus.rollouts) {
    std::cout << "deployment " << rollout.deployment << ' ' << rollout.state << ": "
              << rollout.detail << '\n';
  }
}

constexpr std::string_view kUsage = R"(Usage:
  damasklink status (--host ADDR)... [options]
  damasklink status --settings FILE [options]

Prints the status of the first host that answers.

Options:
  --host ADDR        Operators' address of a host, as IP:PORT; the next is tried when it fails.
  --settings FILE    Settings of any host; all its peers are tried in turn.
  --key-file FILE    File with the operator key; else the environment's DAMASKLINK_OPERATOR_KEY.
  --output FORMAT    text or json [default: text].
)";

ExitCode
Run(const Arguments& aArguments)
{
  ConfigClient client(aArguments);
  auto status = client.Status();
  if (!status) {
    return client.Report(status.error());
  }
  if (client.Json()) {
    std::cout << FormatHostStatus(status.value()) << '\n';
  } else {
    PrintStatus(status.value());
  }
  return ExitCode::Done;
}

} // namespace

Command
StatusCommand()
{
  return Command{
    "status", "Prints what one host knows: leader, revision, hosts, targets, rollouts.", kUsage, Run
  };
}

} // namespace damasklink
