// What hosts and owners of stores tell each other, as typed messages.
#pragma once

#include <variant>
#include <vector>

#include "damasklink/coordination/CostRouter.h"
#include "damasklink/coordination/PrefixView.h"
#include "damasklink/coordination/StoreOwner.h"

namespace damasklink {

// Pairs an answer with its question; counted by the asking host.
using QuestionNumber = NumberId<struct QuestionNumberTag>;
// A grant of an owner that waits for its outcome.
using GrantId = NumberId<struct GrantIdTag>;

// Tells who owns a store.
struct OwnerNotice
{
  StoreId store;
  HostId owner;
  FencingNumber fencing;

  bool operator==(const OwnerNotice&) const = default;
};

enum class QuestionKind : std::uint8_t
{
  LookUp = 1,
  Import = 2,
  Export = 3,
  Answered = 4, // Needs no answer.
};

struct StoreQuestion
{
  QuestionNumber number;
  QuestionKind kind = QuestionKind::LookUp;
  StoreId store;
  // The prompt's blocks and what is known of it; the weights and rate matter to exports only.
  KeepOffer prompt;
  // Blocks to import.
  std::uint64_t from = 0;
  std::uint64_t to = 0;
};

enum class AnswerStatus : std::uint8_t
{
  Granted = 1,
  Busy = 2,    // Ask again in a moment.
  Nothing = 3, // Nothing is kept, or worth keeping.
  NotOwner = 4,
};

struct StoreAnswer
{
  QuestionNumber number;
  AnswerStatus status = AnswerStatus::Nothing;
  // What a look-up found.
  StoredPrefix kept;
  FencingNumber fencing;
  GrantId grant;
  // How long the grant holds from when it was given.
  Duration valid{ 0 };
  // Of an import: the blocks to read. Of an export: name, generation and length to write.
  std::vector<ExportedBlock> blocks;
};

// What came of a grant.
struct StoreOutcome
{
  StoreId store;
  FencingNumber fencing;
  GrantId grant;
  Duration elapsed{ 0 };
  // Whether the bytes arrived.
  bool moved = false;
  // Of an export: what was written. Of an import: what was found wrong.
  std::vector<ExportedBlock> blocks;
};

using SendsNotice = std::vector<TargetSendsDelta>;

// Any message over Channel::Stores.
using StoresMessage = std::variant<OwnerNotice,
                                   StoreQuestion,
                                   StoreAnswer,
                                   StoreOutcome,
                                   SendsNotice,
                                   CacheEvent,
                                   CacheSnapshot>;

} // namespace damasklink
