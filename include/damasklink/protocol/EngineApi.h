// Messages exchanged with targets over HTTP: prompts, answer frames and announcements.
//
// docs/API.md describes the fields. The simulated targets in standin/ use the same functions.
// All parsers fail with InvalidArgument, naming the invalid field.
#pragma once

#include <string>
#include <string_view>

#include "damasklink/coordination/StreamAssembler.h"
#include "damasklink/coordination/Target.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// A prompt to be sent to an engine.
struct EnginePrompt
{
  AttemptId attempt;
  // Enters into the names of the prompt's blocks (BlockNames.h).
  WorkspaceId workspace;
  ModelName model;
  WeightVersion version;
  AdapterName adapter;
  std::string prompt;
  std::uint64_t maxTokens = 16;
  // Index of the first token to send: 0 for a new run, otherwise the first token that a resumed or
  // continued run has not delivered yet.
  std::uint64_t offset = 0;
  // The text delivered so far, when another engine continues the run.
  std::string delivered;
  // A JSON object with the sampling parameters; ParseEnginePrompt() does not read them.
  std::string sampling = "{}";
};

std::string
FormatEnginePrompt(const EnginePrompt& aPrompt);
Result<EnginePrompt>
ParseEnginePrompt(std::string_view aBody);

// A frame of the generated answer is the data of one server-sent event.
std::string
FormatAnswerFrame(const AnswerFrame& aFrame);
Result<AnswerFrame>
ParseAnswerFrame(std::string_view aText);

// A target announces itself with its record.
std::string
FormatTargetRecord(const TargetRecord& aRecord);
Result<TargetRecord>
ParseTargetRecord(std::string_view aBody);

// Extracts the "data" fields from a stream of server-sent events. Other fields are skipped.
//
//   SseReader reader(64 * 1024);
//   reader.Feed(bytes);
//   while (auto data = reader.Next()) ...
//
// Feed() fails with Corrupt when an incomplete line exceeds the limit. Not thread-safe.
class SseReader
{
public:
  explicit SseReader(std::size_t aMaxLineBytes)
    : maxLineBytes(aMaxLineBytes)
  {
  }

  Result<void> Feed(std::string_view aBytes);

  // Returns the data of the next complete line, or nothing if more bytes are needed.
  std::optional<std::string> Next();

private:
  std::size_t maxLineBytes;
  std::string buffer;
  std::size_t consumed = 0;
};

} // namespace damasklink
