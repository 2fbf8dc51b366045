// Names of the blocks of a prompt: a hash chain seeded with workspace, model and version.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "damasklink/state/Ids.h"

namespace damasklink {

// Scope within which a block may be reused. Every field is hashed into each block name, so names of
// different scopes never match.
struct BlockScope
{
  WorkspaceId workspace;
  ModelName model;
  WeightVersion version;
  AdapterName adapter;

  bool operator==(const BlockScope&) const = default;
};

// Index of a token in a model's vocabulary.
using Token = std::uint32_t;

// Splits a prompt into tokens as the model does.
class Tokenizer
{
public:
  virtual ~Tokenizer() = default;

  virtual std::vector<Token> Tokenize(std::string_view aPrompt) const = 0;
};

// Makes a token of every four bytes, the last one zero-padded. Fallback for models whose tokenizer
// is not available: prompts that differ, other than in trailing zero bytes, have different tokens.
class FourByteTokenizer final : public Tokenizer
{
public:
  std::vector<Token> Tokenize(std::string_view aPrompt) const override;
};

// Tokens per block, the same for all hosts, engines and stores of a system.
constexpr std::uint64_t kBlockTokens = 64;

// Returns the names of the prompt's complete blocks in order. Each name is the SHA-256 of the
// previous name and the block's tokens; the chain starts with the digest of the scope. Tokens after
// the last complete block get no name. Requires that aBlockTokens is not zero.
//
//   NameBlocks({ workspace, model, version, adapter }, tokenizer.Tokenize(prompt));
std::vector<Digest>
NameBlocks(const BlockScope& aScope,
           const std::vector<Token>& aTokens,
           std::uint64_t aBlockTokens = kBlockTokens);

// Returns a 64-bit hash of a block's name, for tables where a collision does no harm.
std::uint64_t
BlockHint(const Digest& aBlock);

} // namespace damasklink
