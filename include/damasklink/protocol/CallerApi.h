// The callers' API: OpenAI-compatible completions and chat completions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damasklink/coordination/StreamAssembler.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Error.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Which of the two calls it was; their bodies and events differ in shape.
enum class CompletionStyle
{
  Text,
  Chat,
};

// A caller's prompt, read and checked.
struct CompletionRequest
{
  CompletionStyle style = CompletionStyle::Text;
  ModelName model;
  WeightVersion version;
  AdapterName adapter;
  // The prompt as the engine gets it; for chat the messages rendered in order.
  std::string prompt;
  std::uint64_t maxTokens = 16;
  bool stream = false;
  // Sampling fields, passed to the engine as they came; a JSON object as text.
  std::string sampling = "{}";
};

// Reads the body of /v1/completions or /v1/chat/completions.
// Fails with InvalidArgument naming the field that is wrong. A model is written "name" or
// "name@version", with "+adapter" behind it where one is wanted.
Result<CompletionRequest>
ParseCompletionRequest(std::string_view aBody, CompletionStyle aStyle);

// What stands in every answer to one request.
struct CompletionHeader
{
  RequestId request;
  CompletionStyle style = CompletionStyle::Text;
  ModelName model;
  WallTime created;
};

// Returns one server-sent event with a piece of text.
std::string
FormatDeltaEvent(const CompletionHeader& aHeader, std::string_view aText);

// Returns the events that end a whole answer: reason, usage and [DONE].
std::string
FormatFinalEvents(const CompletionHeader& aHeader,
                  std::string_view aFinishReason,
                  const AnswerUsage& aUsage);

// Returns an event that ends an answer which broke off; [DONE] is left out on purpose.
std::string
FormatErrorEvent(std::string_view aErrorBody);

// Returns the body of an answer that is not streamed.
std::string
FormatCompletion(const CompletionHeader& aHeader,
                 std::string_view aText,
                 std::string_view aFinishReason,
                 const AnswerUsage& aUsage);

// Returns the body of an answer to POST /v1/keys.
std::string
FormatIssuedKey(const IdempotencyKey& aKey, Duration aRetention);

// Returns the body of /v1/models.
std::string
FormatModelList(const std::vector<ModelName>& aModels);

} // namespace damasklink
