// What subcommands that talk to hosts share: which hosts, with which key.
#pragma once

#include <string>
#include <vector>

#include "Commands.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Settings.h"

namespace damasklink {

// The environment variable that holds the operator key; a key on the command line would show in
// the list of processes.
constexpr const char* kOperatorKeyVariable = "DAMASKLINK_OPERATOR_KEY";

// Returns the operators' addresses that `--host` or `--settings` names. Throws WrongUseError when
// neither or a malformed one was given.
std::vector<Endpoint>
HostsOf(const Arguments& aArguments);

// Returns the operator key. Throws WrongUseError when it is not set.
std::string
OperatorKey();

// Calls GET on a host with the key and returns the body. Fails with what the host answered, or
// Unavailable when it could not be reached.
Result<std::string>
GetFromHost(const Endpoint& aHost, const std::string& aPath, const std::string& aKey);

} // namespace damasklink
