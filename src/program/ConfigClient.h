// The commands' side of the operators' calls: tries hosts in turn until one answers.
#pragma once

#include <string>
#include <vector>

#include "OperatorCalls.h"
#include "damasklink/protocol/OperatorApi.h"

namespace damasklink {

// Calls the operators' addresses of hosts, in the order given.
//
//   ConfigClient client(options);
//   auto status = client.Status();
//
// A host that cannot be reached, breaks off or answers that it cannot do it now is followed by the
// next one: all calls bear being made twice. Unavailable means that no host answered at all.
class ConfigClient
{
public:
  // Reads hosts, key and output format. Throws WrongUseError.
  explicit ConfigClient(const Arguments& aArguments);

  Result<Revision> Change(const ChangeRequest& aRequest);
  Result<SubtreeList> List();
  Result<SubtreeView> Get(const SubtreeName& aName);
  Result<std::vector<KeyHolder>> KeyHolders(const std::vector<Digest>& aKeys);
  Result<std::vector<HistoryEntry>> History(const std::string& aSubtree, const std::string& aMost);
  Result<HostStatus> Status();
  Result<InForceReport> InForce(Revision aRevision, const std::string& aWait);

  // Prints the error and returns the exit code for it.
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

// Reads the files that PATH names: one file, or all *.yaml files below a folder, in order.
Result<std::vector<ConfigSource>>
ReadConfigSources(const std::string& aPath);

// What a set of files asks for, held against what is in force.
struct PlannedChange
{
  Subtree subtree;
  std::string content;
  // The version in force and the one that the file was made from.
  Revision inForce;
  Revision base;
  std::string before;

  bool Unchanged() const { return this->before == this->content; }
};

// Reads and checks all files before anything is sent. Prints every fault and returns Refused when
// there are any, or Unreachable.
ExitCode
PlanChanges(ConfigClient& aClient, const std::string& aPath, std::vector<PlannedChange>& aTo);

} // namespace damasklink
