// The benches of this project. Each prints its figures and returns 0 when it ran to its end.
// To add one, declare it here and add its row to the table in Main.cpp.
#pragma once

#include <string>
#include <vector>

namespace damasklink::bench {

// Replicated log: changes a second, latency, idle cost, elections, restart. The first argument is
// the folder on the disk to measure, by default that for temporary files.
int
RunAgreement(const std::vector<std::string>& aArguments);

// Slopes of state, processor time and bytes, for docs/CAPACITY.md.
int
RunSlopes(const std::vector<std::string>& aArguments);

// What relaying costs against the engine called directly; tools/bench-relay starts the processes.
int
RunRelay(const std::vector<std::string>& aArguments);

// Routing and reuse against baselines, under a virtual clock.
int
RunPolicyBench(const std::vector<std::string>& aArguments);

// Memory, times and bytes of the configuration. The argument is the first of 90 free ports.
int
RunConfiguration(const std::vector<std::string>& aArguments);

// What one record of a counter, a sample or a service level costs.
int
RunMetrics(const std::vector<std::string>& aArguments);

// What one routing decision, naming a prompt and keeping a directory take.
int
RunReuseBench(const std::vector<std::string>& aArguments);

// Admission, retries and claims: goodput under overload, recovery, fairness, claims a second.
int
RunRequests(const std::vector<std::string>& aArguments);

} // namespace damasklink::bench
