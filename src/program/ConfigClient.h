// The client of the operators' configuration API, for subcommands. Tries hosts in turn until one
// answers.
#pragma once

#include <string>
#include <vector>

#include "OperatorCalls.h"
#include "damasklink/protocol/OperatorApi.h"

namespace damasklink {

// Calls the operators' addresses of hosts, in the order of the arguments.
//
//   ConfigClient client(arguments);
//   auto status = client.Status();
//
// All calls are idempotent: if a host cannot be reached, breaks off or answers that it is busy or
// failing, the next host is called. If no host gives a final answer, a call fails with the error of
// the last one that answered, or of the last one if none did. Calls block. Not thread-safe.
class ConfigClient
{
public:
  // Reads hosts, key and output format. Throws UsageError.
  explicit ConfigClient(const Arguments& aArguments);

  Result<Revision> Change(const ChangeRequest& aRequest);
  Result<SubtreeList> List();
  Result<SubtreeView> Get(const SubtreeName& aName);
  Result<std::vector<KeyHolder>> KeyHolders(const std::vector<Digest>& aKeys);
  Result<std::vector<HistoryEntry>> History(const std::string& aSubtree, const std::string& aMost);
  Result<HostStatus> Status();
  Result<InForceReport> InForce(Revision aRevision, const std::string& aWait);

  // Prints the error, and returns its exit code: Unreachable if no host has answered any call so
  // far, else Refused.
  ExitCode Report(const Error& aError) const;

  bool Json() const { return this->format == OutputFormat::Json; }

private:
  // Returns the body of the first answer that is final.
  Result<std::string> Call(const std::string& aMethod,
                           const std::string& aPath,
                           const std::string& aBody);

  std::vector<Endpoint> hosts;
  std::string key;
  OutputFormat format;
  bool answered = false;
};

// Reads one file, or all *.yaml files below a folder, in the order of their paths. Fails if one
// cannot be read, or there is none.
Result<std::vector<ConfigSource>>
ReadConfigSources(const std::string& aPath);

// The new content of one subtree, with the content in force.
struct PlannedChange
{
  Subtree subtree;
  std::string content;
  // The version in force, and the version from which the file was made.
  Revision inForce;
  Revision base;
  // The content in force.
  std::string before;

  bool Unchanged() const { return this->before == this->content; }
};

// Reads and checks all files, and fills aTo with a change for each subtree; sends no change. Prints
// every fault. Returns Refused if there is any, InvalidUsage if the files cannot be read, and
// Unreachable if no host answers.
ExitCode
PlanChanges(ConfigClient& aClient, const std::string& aPath, std::vector<PlannedChange>& aTo);

} // namespace damasklink
