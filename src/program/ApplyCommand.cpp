#include <algorithm>
#include <iostream>

#include "ConfigClient.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr std::size_t kChangeIdDigits = 32;

struct ApplyOptions
{
  // A file, or a folder of subtrees; empty if a subtree is deleted.
  std::string path;
  std::string deleted;
  std::string author;
  // How long to wait until the change is in force everywhere; empty for no wait.
  std::string wait;
};

// Returns an id derived from content and base, so that running a command again resends the same
// change, which is applied only once.
ChangeId
ChangeIdOf(const SubtreeName& aName, Revision aBase, const std::string& aContent)
{
  const Digest digest =
    DigestOf(Concat(FormatSubtreeName(aName), "\n", aBase.Value(), "\n", aContent));
  return ChangeId(Concat("apply-", digest.Value().substr(0, kChangeIdDigits)));
}

// Prints the outcome for one subtree.
void
PrintOutcome(bool aJson, const SubtreeName& aName, const std::string& aOutcome, Revision aRevision)
{
  const std::string name = FormatSubtreeName(aName);
  if (aJson) {
    std::cout << R"({"subtree":")" << name << R"(","outcome":")" << aOutcome << R"(","revision":)"
              << aRevision << "}\n";
    return;
  }
  std::cout << name << ": " << aOutcome << ", revision " << aRevision << '\n';
}

ExitCode
WaitInForce(ConfigClient& aClient, Revision aRevision, const std::string& aWait)
{
  auto report = aClient.InForce(aRevision, aWait);
  if (!report) {
    return aClient.Report(report.error());
  }
  if (aClient.Json()) {
    std::cout << FormatInForceReport(report.value()) << '\n';
  } else {
    std::cout << "revision " << aRevision << " in force on:";
    for (const HostId& host : report.value().inForce) {
      std::cout << ' ' << host;
    }
    std::cout << "\nmissing:";
    for (const HostId& host : report.value().missing) {
      std::cout << ' ' << host;
    }
    std::cout << (report.value().missing.empty() ? " none\n" : "\n");
  }
  return report.value().missing.empty() ? ExitCode::Done : ExitCode::Refused;
}

// Sends changes one after the other, and keeps the worst exit code.
class ChangeSender
{
public:
  ChangeSender(ConfigClient& aClient, const ApplyOptions& aOptions)
    : client(aClient)
    , options(aOptions)
  {
  }

  // Returns false if no host can be reached, so that the other changes need not be tried.
  bool Send(const SubtreeName& aName, Revision aBase, const std::string& aContent)
  {
    ChangeRequest request;
    request.id = ChangeIdOf(aName, aBase, aContent);
    request.subtree = aName;
    request.base = aBase;
    request.author = this->options.author;
    request.content = aContent;
    request.deleted = aContent.empty();
    auto accepted = this->client.Change(request);
    if (accepted) {
      PrintOutcome(this->client.Json(), aName, "accepted", accepted.value());
      this->highest = std::max(this->highest, accepted.value());
      return true;
    }
    std::cerr << FormatSubtreeName(aName) << ": ";
    this->worst = std::max(this->worst, this->client.Report(accepted.error()));
    return this->worst != ExitCode::Unreachable;
  }

  void SkipUnchanged(const SubtreeName& aName, Revision aVersion)
  {
    PrintOutcome(this->client.Json(), aName, "unchanged", aVersion);
    this->highest = std::max(this->highest, aVersion);
  }

  // Waits until the changes are in force if --wait was given, and returns the exit code of the
  // command.
  ExitCode Finish()
  {
    if (this->worst == ExitCode::Done && !this->options.wait.empty()) {
      return WaitInForce(this->client, this->highest, this->options.wait);
    }
    return this->worst;
  }

private:
  ConfigClient& client;
  const ApplyOptions& options;
  ExitCode worst = ExitCode::Done;
  Revision highest;
};

ExitCode
DeleteSubtree(ConfigClient& aClient, const ApplyOptions& aOptions)
{
  auto name = ParseSubtreeName(aOptions.deleted);
  if (!name) {
    std::cerr << "damasklink: " << Describe(name.error()) << '\n';
    return ExitCode::InvalidUsage;
  }
  auto view = aClient.Get(name.value());
  if (!view) {
    return aClient.Report(view.error());
  }
  ChangeSender sender(aClient, aOptions);
  if (view.value().content.empty()) {
    sender.SkipUnchanged(name.value(), view.value().version);
  } else {
    sender.Send(name.value(), view.value().version, "");
  }
  return sender.Finish();
}

constexpr std::string_view kUsage = R"(Usage:
  damasklink apply PATH (--host ADDR)... [options]
  damasklink apply PATH --settings FILE [options]
  damasklink apply --delete SUBTREE (--host ADDR)... [options]
  damasklink apply --delete SUBTREE --settings FILE [options]

PATH is a file or a folder of subtrees. All are checked before any is sent; other workspaces are
not changed. The command may be run again: no change is applied twice.

Options:
  --host ADDR        Operators' address of a host, as IP:PORT; the next is tried when it fails.
  --settings FILE    Settings of any host; all its peers are tried in turn.
  --key-file FILE    File with the operator key; else the environment's DAMASKLINK_OPERATOR_KEY.
  --output FORMAT    text or json [default: text].
  --delete SUBTREE   Delete a subtree, such as workspaces/head-office.
  --author NAME      Who makes the change, for the history [default: operator].
  --wait TIME        Wait until it is in force everywhere, such as 10s, and name the hosts missing.
)";

ExitCode
Run(const Arguments& aArguments)
{
  const ApplyOptions options{ TextOf(aArguments, "PATH"),
                              TextOf(aArguments, "--delete"),
                              TextOf(aArguments, "--author"),
                              TextOf(aArguments, "--wait") };
  ConfigClient client(aArguments);
  if (!options.deleted.empty()) {
    return DeleteSubtree(client, options);
  }
  std::vector<PlannedChange> planned;
  const ExitCode plan = PlanChanges(client, options.path, planned);
  if (plan != ExitCode::Done) {
    return plan;
  }
  ChangeSender sender(client, options);
  for (const PlannedChange& change : planned) {
    if (change.Unchanged()) {
      sender.SkipUnchanged(change.subtree.name, change.inForce);
    } else if (!sender.Send(change.subtree.name, change.base, change.content)) {
      break;
    }
  }
  return sender.Finish();
}

} // namespace

Command
ApplyCommand()
{
  return Command{ "apply", "Applies subtrees, each accepted or refused as a whole.", kUsage, Run };
}

} // namespace damasklink
