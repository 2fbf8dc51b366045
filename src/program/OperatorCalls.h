// What subcommands that talk to hosts share: which hosts, with which key.
#pragma once

#include <string>
#include <vector>

#include "Commands.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// Returns the operators' addresses that `--host` or `--settings` names. Throws WrongUseError when
// neither or a malformed one was given.
std::vector<Endpoint>
HostsOf(const Arguments& aArguments);

// Returns the operator key from the file that `--key-file` names, else from the environment's
// DAMASKLINK_OPERATOR_KEY: on the command line it would show in the list of processes. Throws
// WrongUseError when there is none.
std::string
OperatorKey(const Arguments& aArguments);

// A call to one host's operators' address.
struct OperatorCall
{
  Endpoint host;
  std::string method = "GET";
  std::string path;
  std::string key;
  std::string body;
};

// Makes the call and returns the body of the answer. Fails with what the host answered, or
// Unavailable when it could not be reached.
Result<std::string>
CallOperator(const OperatorCall& aCall);

} // namespace damasklink
