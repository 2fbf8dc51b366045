// The benches of this project. Each prints its figures and returns 0 when it ran to its end.
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

// Admission, retries and claims: goodput under overload, recovery, fairness, claims a second.
int
RunRequests(const std::vector<std::string>& aArguments);

} // namespace damasklink::bench
