// Helpers of the subcommands that call the operators' address of hosts.
#pragma once

#include <string>
#include <vector>

#include "Commands.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// Returns the operators' addresses of the hosts that `--host` or `--settings` names. Throws
// UsageError if neither was given or one is malformed.
std::vector<Endpoint>
HostsOf(const Arguments& aArguments);

// Returns the operator key from the file that `--key-file` names, or else from the environment
// variable DAMASKLINK_OPERATOR_KEY. There is no option for the key itself, which would be visible
// in the list of processes. Throws UsageError if there is no key.
std::string
OperatorKey(const Arguments& aArguments);

// A call to the operators' address of one host.
struct OperatorCall
{
  Endpoint host;
  std::string method = "GET";
  std::string path;
  std::string key;
  std::string body;
};

// Makes the call and returns the body of the answer. Fails with Unavailable if the host cannot be
// reached, with Unauthenticated if it refuses the key, and with Internal for any other status.
// Blocks for some seconds at most.
Result<std::string>
CallOperator(const OperatorCall& aCall);

} // namespace damasklink
