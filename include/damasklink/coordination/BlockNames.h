// Names of the blocks of a prompt: a hash chain that no other workspace or version can share.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "damasklink/state/Ids.h"

namespace damasklink {

// What a block may be reused for. Every field is part of each name.
struct BlockScope
{
  WorkspaceId workspace;
  ModelName model;
  WeightVersion version;
  AdapterName adapter;

  bool operator==(const BlockScope&) const = default;
};

// Number of a token in a model's vocabulary.
using Token = std::uint32_t;

// Cuts a prompt into tokens as the model does.
class Tokenizer
{
public:
  virtual ~Tokenizer() = default;

  virtual std::vector<Token> Tokenize(std::string_view aPrompt) const = 0;
};

// Takes every four bytes as one token; a shorter rest is one more. Stands in for the tokenizer of
// a model where none is at hand: names then still differ whenever prompts do.
class FourByteTokenizer final : public Tokenizer
{
public:
  std::vector<Token> Tokenize(std::string_view aPrompt) const override;
};

// Tokens of one block, the same for all hosts, engines and stores of a system.
constexpr std::uint64_t kBlockTokens = 64;

// Returns the names of the prompt's whole blocks, from its start. Each name is the SHA-256 of the
// name before it and the block's tokens; the first follows the digest of the scope. Tokens behind
// the last whole block have no name. Requires that aBlockTokens is not zero.
//
//   NameBlocks({ workspace, model, version, adapter }, tokenizer.Tokenize(prompt));
std::vector<Digest>
NameBlocks(const BlockScope& aScope,
           const std::vector<Token>& aTokens,
           std::uint64_t aBlockTokens = kBlockTokens);

// Returns the start of a block's name as a number, for tables that only hold hints.
std::uint64_t
BlockHint(const Digest& aBlock);

} // namespace damasklink
