// Messages between hosts and the owners of stores.
#pragma once

#include <variant>
#include <vector>

#include "damasklink/coordination/CostRouter.h"
#include "damasklink/coordination/PrefixCacheIndex.h"
#include "damasklink/coordination/StoreManager.h"

namespace damasklink {

// Matches an answer to its question; assigned by the asking host.
using QuestionNumber = NumberId<struct QuestionNumberTag>;
// Identifies a grant of an owner until its outcome is reported.
using GrantId = NumberId<struct GrantIdTag>;

// Announces the owner of a store.
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
  Answered = 4, // Reports that the prompt was answered; needs no reply.
};

// A question to the owner of a store.
struct StoreQuestion
{
  QuestionNumber number;
  QuestionKind kind = QuestionKind::LookUp;
  StoreId store;
  // The prompt. Its objective and prefill rate are used for exports only.
  HashedPrompt prompt;
  // Import: the range [from, to) of the prompt's blocks.
  std::uint64_t from = 0;
  std::uint64_t to = 0;
};

enum class AnswerStatus : std::uint8_t
{
  Granted = 1,
  Busy = 2,     // The budget of the store's link is used up; ask again in a moment.
  Nothing = 3,  // Nothing is stored, or nothing is worth exporting or fits.
  NotOwner = 4, // This host does not own the store.
};

// The owner's answer to a StoreQuestion.
struct StoreAnswer
{
  QuestionNumber number;
  AnswerStatus status = AnswerStatus::Nothing;
  // Look-up: the stored start of the prompt.
  StoredPrefix kept;
  FencingNumber fencing;
  GrantId grant;
  // How long the grant is valid after it was issued.
  Duration valid{ 0 };
  // Import: the blocks to read. Export: the blocks to write, without checksums.
  std::vector<ExportedBlock> blocks;
};

// Result of a granted transfer.
struct StoreOutcome
{
  StoreId store;
  FencingNumber fencing;
  GrantId grant;
  Duration elapsed{ 0 };
  // Whether the bytes arrived.
  bool moved = false;
  // Export: the blocks that were written. Import: the blocks that the reader found corrupt.
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
