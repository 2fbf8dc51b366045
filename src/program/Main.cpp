// The damasklink program: one binary with a subcommand for each task.
#include "Commands.h"
#include "damasklink/transport/Log.h"

int
main(int aCount, char** aArguments)
{
  damasklink::StartLogging(damasklink::LogLevel::Info);
  const std::vector<std::string> words(aArguments + 1, aArguments + aCount);
  return static_cast<int>(damasklink::RunProgram(words));
}
