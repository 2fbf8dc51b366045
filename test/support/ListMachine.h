// A replicated machine that keeps all commands.
#pragma once

#include <sstream>
#include <string>
#include <vector>

#include "damasklink/coordination/Replication.h"

namespace damasklink::testing {

// Keeps the commands in the order in which they were applied, and answers each with itself.
// Requires commands without line ends.
class ListMachine final : public ReplicatedStateMachine
{
public:
  std::string Apply(const ApplyContext& aContext, std::string_view aCommand) override
  {
    this->last = aContext;
    this->commands.emplace_back(aCommand);
    return std::string(aCommand);
  }

  std::string Save() const override
  {
    std::string all;
    for (const std::string& command : this->commands) {
      all += command + "\n";
    }
    return all;
  }

  Result<void> Load(std::string_view aSnapshot) override
  {
    this->commands.clear();
    std::istringstream lines{ std::string(aSnapshot) };
    for (std::string line; std::getline(lines, line);) {
      this->commands.push_back(line);
    }
    return Success();
  }

  std::vector<std::string> commands;
  ApplyContext last;
};

} // namespace damasklink::testing
