// What this system and its targets say to each other over HTTP: prompts, answers, announcements.
//
// docs/API.md describes the fields; the stand-ins of standin/ speak the same.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/StreamAssembler.h"
#include "damasklink/coordination/Target.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// A prompt as it goes to an engine.
struct EnginePrompt
{
  AttemptId attempt;
  // Part of the names of the prompt's blocks (BlockNames.h).
  WorkspaceId workspace;
  ModelName model;
  WeightVersion version;
  AdapterName adapter;
  std::string prompt;
  std::uint64_t maxTokens = 16;
  // First token wanted: 0 for a new run, the next missing one for a resumed or continued run.
  std::uint64_t offset = 0;
  // Text delivered already, where another engine continues the run.
  std::string delivered;
  std::string sampling = "{}";
};

std::string
FormatEnginePrompt(const EnginePrompt& aPrompt);
Result<EnginePrompt>
ParseEnginePrompt(std::string_view aBody);

// One frame of an answer, as the text behind "data: ".
std::string
FormatAnswerFrame(const AnswerFrame& aFrame);
Result<AnswerFrame>
ParseAnswerFrame(std::string_view aText);

// Announcements of targets. Parsing fails with InvalidArgument naming the field.
std::string
FormatTargetRecord(const TargetRecord& aRecord);
Result<TargetRecord>
ParseTargetRecord(std::string_view aBody);

// Cuts a stream of server-sent events into the texts behind "data: ".
//
//   SseReader reader(64 * 1024);
//   reader.Feed(bytes);
//   while (auto data = reader.Next()) ...
//
// Holds at most one unfinished line; Feed() fails with Corrupt when a line exceeds the limit.
class SseReader
{
public:
  explicit SseReader(std::size_t aMaxLineBytes)
    : maxLineBytes(aMaxLineBytes)
  {
  }

  Result<void> Feed(std::string_view aBytes);

  // Returns the next complete text, or nothing until more was fed.
  std::optional<std::string> Next();

private:
  std::size_t maxLineBytes;
  std::string buffer;
  std::size_t consumed = 0;
};

} // namespace damasklink
