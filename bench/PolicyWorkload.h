// Workloads of the policy bench: prompts of two users, the same for every policy.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/ConfigTree.h"

namespace damasklink::bench {

// One kind of conversation.
struct ConversationShape
{
  double share = 0;
  // Tokens of the first prompt behind the workspace's shared beginning, and what each further
  // prompt adds besides the answer before it; spread evenly on a logarithmic scale.
  double firstLeast = 0;
  double firstMost = 0;
  double addedLeast = 0;
  double addedMost = 0;
  double answerTokens = 0;
  // Chance that one more prompt follows.
  double returns = 0;
};

// A user: its targets, stores and prompts.
struct UserShape
{
  std::string name;
  std::uint64_t replicas = 0;
  double prefillRate = 0;
  std::uint64_t slots = 0;
  Duration tokenInterval{ 0 };
  std::uint64_t cacheBlocks = 0;
  StoreDeclaration store;
  ObjectiveWeights objective;
  std::uint64_t workspaces = 10;
  double sharedLeast = 0;
  double sharedMost = 0;
  std::vector<ConversationShape> conversations;
};

UserShape
Kalahari();

UserShape
Clas();

// One prompt of the trace. Its blocks are the first ones of its conversation.
struct TracePrompt
{
  Duration at{ 0 };
  std::uint32_t conversation = 0;
  std::uint32_t workspace = 0;
  std::uint32_t host = 0;
  std::uint64_t tokens = 0;
  std::uint64_t answerTokens = 0;
};

struct Trace
{
  std::vector<TracePrompt> prompts;
  // Block names by conversation, as long as its last answer.
  std::vector<std::vector<Digest>> blocks;
  // Prompts before this time fill the caches and are not measured.
  Duration measuredFrom{ 0 };
};

constexpr std::uint32_t kHosts = 9;
constexpr std::uint32_t kZones = 3;
constexpr std::uint32_t kStores = 2;

// Makes a trace of two days. Traffic comes in rushes with idle time between them, so that gaps of
// days fit into a run of seconds. A load of 1 keeps the engines just busy during a rush when half
// of what was computed before is computed again.
Trace
MakeTrace(const UserShape& aUser, double aLoad, std::uint64_t aSeed);

} // namespace damasklink::bench
