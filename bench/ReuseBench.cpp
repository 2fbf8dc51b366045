// Time and memory of the decisions about reuse: damasklink-bench reuse.
#include "Bench.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <malloc.h>

#include "damasklink/coordination/BlockNames.h"
#include "damasklink/coordination/CostRouter.h"
#include "damasklink/coordination/LeasedStore.h"
#include "damasklink/state/Digests.h"
#include "damasklink/state/Text.h"
#include "damasklink/state/Units.h"

namespace damasklink::bench {
namespace {

constexpr std::uint64_t kPromptTokens = 8000;
constexpr std::uint64_t kDirectoryBlocks = 1'000'000;
constexpr std::uint64_t kReturningPrompts = 2000;
constexpr double kMicro = 1e6;
const ModelName kModel("model");
const WeightVersion kVersion("v1");
const BlockScope kScope{ WorkspaceId("water"), kModel, kVersion, AdapterName() };

double
SecondsSince(std::chrono::steady_clock::time_point aBegin)
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - aBegin).count();
}

std::uint64_t
HeapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::vector<TargetRecord>
Targets(std::uint64_t aCount)
{
  std::vector<TargetRecord> targets;
  for (std::uint64_t number = 0; number < aCount; ++number) {
    TargetRecord& target = targets.emplace_back();
    target.id = TargetId(Concat("engine-", number));
    target.endpoint = { "10.0.0.1", 8000 };
    target.incarnation = Incarnation(1);
    target.sequence = Sequence(1);
    target.models = { ServedModel{ kModel, kVersion, {} } };
    target.rates.prefillTokensPerSecond = 8000;
    target.load.slots = 64;
    target.load.queuedPrefill = TokenCount((number * 37) % 500);
  }
  return targets;
}

// Returns the names of a prompt whose first eighth all prompts share.
std::vector<Digest>
PromptBlocks(std::uint64_t aNumber)
{
  std::vector<Digest> blocks;
  for (std::uint64_t block = 0; block < kPromptTokens / kBlockTokens; ++block) {
    const bool shared = block < kPromptTokens / kBlockTokens / 8;
    blocks.push_back(DigestOf(Concat(shared ? 0 : aNumber + 1, " ", block)));
  }
  return blocks;
}

void
MeasureDecision(std::uint64_t aTargets)
{
  const SystemClock clock;
  CostRouter router(clock, CostRouterOptions());
  const std::vector<TargetRecord> targets = Targets(aTargets);
  std::vector<RouteRequest> prompts(kReturningPrompts);
  for (std::uint64_t number = 0; number < kReturningPrompts; ++number) {
    RouteRequest& prompt = prompts[number];
    prompt.model = kModel;
    prompt.grants = { ModelGrant{ kModel, {} } };
    prompt.blocksVersion = kVersion;
    prompt.blocks = PromptBlocks(number);
    prompt.promptTokens = TokenCount(kPromptTokens);
    prompt.stored = { StoredPrefix{ StoreId("store"),
                                    60,
                                    TokenCount(60 * kBlockTokens),
                                    ByteCount(100 * kMebibyte),
                                    1e8,
                                    false } };
    router.Caches().OnSent(targets[number % aTargets].id, prompt.blocks);
  }
  std::vector<double> micros;
  for (const RouteRequest& prompt : prompts) {
    const auto begin = std::chrono::steady_clock::now();
    const auto decision = router.Choose(prompt, targets);
    micros.push_back(SecondsSince(begin) * kMicro);
    if (!decision) {
      std::cout << "no decision\n";
    }
  }
  std::sort(micros.begin(), micros.end());
  std::cout << "decision targets=" << aTargets << " prompt_blocks=" << prompts[0].blocks.size()
            << " p50_us=" << micros[micros.size() / 2]
            << " p99_us=" << micros[micros.size() * 99 / 100] << '\n';
}

void
MeasureNaming()
{
  constexpr int kRuns = 2000;
  const std::string prompt(kPromptTokens * sizeof(Token), 'x');
  const FourByteTokenizer tokenizer;
  std::size_t blocks = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int run = 0; run < kRuns; ++run) {
    blocks += NameBlocks(kScope, tokenizer.Tokenize(prompt)).size();
  }
  std::cout << "naming tokens=" << kPromptTokens << " blocks=" << blocks / kRuns
            << " mean_us=" << SecondsSince(begin) * kMicro / kRuns << '\n';
}

std::vector<BlockHeader>
Inventory()
{
  std::vector<BlockHeader> inventory;
  inventory.reserve(kDirectoryBlocks);
  for (std::uint64_t number = 0; number < kDirectoryBlocks; ++number) {
    inventory.push_back({ DigestOf(Concat(number)),
                          kScope,
                          Generation(number + 1),
                          ByteCount(2 * kMebibyte),
                          Checksum(number) });
  }
  return inventory;
}

void
MeasureDirectory()
{
  const SystemClock clock;
  const std::vector<BlockHeader> inventory = Inventory();
  StoreManagerOptions options;
  options.store = StoreId("store");
  options.declared = {
    ByteCount(kGibibyte * 4096), ByteCount(0), ByteCount(kGibibyte), ByteCount(32 * kKibibyte)
  };
  const std::uint64_t before = HeapBytes();
  LeasedStore owned(clock, FencingNumber(2), options);
  owned.Renew(clock.MonotonicNow() + std::chrono::hours(1));
  const auto begin = std::chrono::steady_clock::now();
  owned.Rebuild(inventory);
  const double seconds = SecondsSince(begin);
  const double bytes = static_cast<double>(HeapBytes() - before);
  const double perBlock = bytes / static_cast<double>(kDirectoryBlocks);
  std::cout << "directory blocks=" << owned.Directory().Size() << " bytes_per_block=" << perBlock
            << " bytes_per_prompt_of_8000_tokens="
            << perBlock * (static_cast<double>(kPromptTokens) / static_cast<double>(kBlockTokens))
            << '\n';
  std::cout << "handover blocks=" << kDirectoryBlocks << " rebuild_s=" << seconds
            << " (besides: lease 6 s at most, and fetching the inventory)\n";
}

} // namespace

int
RunReuseBench(const std::vector<std::string>& aArguments)
{
  if (!aArguments.empty()) {
    std::cerr << "Usage: damasklink-bench reuse\n";
    return 2;
  }
  for (const std::uint64_t targets : { 18, 400, 2000 }) {
    MeasureDecision(targets);
  }
  MeasureNaming();
  MeasureDirectory();
  return 0;
}

} // namespace damasklink::bench
