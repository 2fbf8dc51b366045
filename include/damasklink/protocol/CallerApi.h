// Reads and writes the bodies of the callers' API: OpenAI-compatible completions and chat
// completions.
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

// The API that was called. The two differ in the shape of their bodies and events.
enum class CompletionStyle
{
  Text, // /v1/completions
  Chat, // /v1/chat/completions
};

// A caller's request, parsed and validated.
struct CompletionRequest
{
  CompletionStyle style = CompletionStyle::Text;
  ModelName model;
  WeightVersion version;
  AdapterName adapter;
  // The prompt that is sent to the engine; for Chat, the messages rendered in order.
  std::string prompt;
  std::uint64_t maxTokens = 16;
  bool stream = false;
  // A JSON object with the sampling parameters, forwarded to the engine unchanged.
  std::string sampling = "{}";
};

// Parses the body of /v1/completions or /v1/chat/completions. The model is "name" or
// "name@version", optionally followed by "+adapter".
// Fails with InvalidArgument, naming the invalid field.
Result<CompletionRequest>
ParseCompletionRequest(std::string_view aBody, CompletionStyle aStyle);

// Fields that are equal in all bodies and events sent in response to one request.
struct CompletionHeader
{
  RequestId request;
  CompletionStyle style = CompletionStyle::Text;
  ModelName model;
  WallTime created;
};

// Returns a server-sent event with the next part of the generated text.
std::string
FormatDeltaEvent(const CompletionHeader& aHeader, std::string_view aText);

// Returns the events that end a complete stream: finish reason with usage, then [DONE].
std::string
FormatFinalEvents(const CompletionHeader& aHeader,
                  std::string_view aFinishReason,
                  const AnswerUsage& aUsage);

// Returns the event that ends an interrupted stream. [DONE] does not follow, so that clients do not
// take the text for complete.
std::string
FormatErrorEvent(std::string_view aErrorBody);

// Returns the response body for a request without streaming.
std::string
FormatCompletion(const CompletionHeader& aHeader,
                 std::string_view aText,
                 std::string_view aFinishReason,
                 const AnswerUsage& aUsage);

// Returns the response body of POST /v1/keys. aRetention is how long the key is remembered.
std::string
FormatIssuedKey(const IdempotencyKey& aKey, Duration aRetention);

// Returns the response body of /v1/models.
std::string
FormatModelList(const std::vector<ModelName>& aModels);

} // namespace damasklink
