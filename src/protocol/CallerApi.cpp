#include "damasklink/protocol/CallerApi.h"

#include <array>

#include "JsonFields.h"
#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

using internal::Dump;
using internal::Json;

constexpr std::uint64_t kMaxAnswerTokens = 1'000'000;

// Sampling parameters, which are forwarded to the engine without validation.
constexpr std::array<const char*, 7> kSamplingFields{
  "temperature", "top_p", "stop", "seed", "presence_penalty", "frequency_penalty", "logit_bias"
};

auto
BadField(std::string_view aField, std::string_view aProblem, std::string_view aRemedy)
{
  return Fail(
    ErrorKind::InvalidArgument, Concat("field '", aField, "' ", aProblem), std::string(aRemedy));
}

// Parses "name@version+adapter"; version and adapter are optional.
void
ReadModel(const std::string& aText, CompletionRequest& aTo)
{
  std::string rest = aText;
  const std::size_t plus = rest.find('+');
  if (plus != std::string::npos) {
    aTo.adapter = AdapterName(rest.substr(plus + 1));
    rest.resize(plus);
  }
  const std::size_t at = rest.find('@');
  if (at != std::string::npos) {
    aTo.version = WeightVersion(rest.substr(at + 1));
    rest.resize(at);
  }
  aTo.model = ModelName(rest);
}

Result<std::string>
ReadMessageText(const Json& aContent)
{
  if (aContent.is_string()) {
    return aContent.get<std::string>();
  }
  if (!aContent.is_array()) {
    return BadField("messages[].content", "is neither a string nor an array", "send a string");
  }
  std::string text;
  for (const Json& part : aContent) {
    const bool isText = part.is_object() && part.contains("text") && part["text"].is_string();
    if (!isText) {
      return BadField("messages[].content", "has a part without a text", "send text parts only");
    }
    text += part["text"].get<std::string>();
  }
  return text;
}

Result<std::string>
ReadMessages(const Json& aBody)
{
  const bool present = aBody.contains("messages") && aBody["messages"].is_array();
  if (!present || aBody["messages"].empty()) {
    return BadField("messages", "is missing or empty", "send an array of {role, content}");
  }
  std::string prompt;
  for (const Json& message : aBody["messages"]) {
    const bool hasRole =
      message.is_object() && message.contains("role") && message["role"].is_string();
    if (!hasRole || !message.contains("content")) {
      return BadField("messages", "has an entry without role or content", "send both");
    }
    auto text = ReadMessageText(message["content"]);
    if (!text) {
      return Fail(text.error());
    }
    prompt += Concat(message["role"].get<std::string>(), ": ", text.value(), "\n");
  }
  return prompt + "assistant:";
}

Result<std::string>
ReadPrompt(const Json& aBody)
{
  if (!aBody.contains("prompt") || !aBody["prompt"].is_string()) {
    return BadField("prompt", "is missing or not a string", "send one string");
  }
  return aBody["prompt"].get<std::string>();
}

Result<void>
ReadMaxTokens(const Json& aBody, std::uint64_t& aTo)
{
  for (const char* field : { "max_completion_tokens", "max_tokens" }) {
    if (!aBody.contains(field) || aBody[field].is_null()) {
      continue;
    }
    const Json& value = aBody[field];
    const bool isInteger = value.is_number_unsigned();
    if (!isInteger || value.get<std::uint64_t>() < 1 ||
        value.get<std::uint64_t>() > kMaxAnswerTokens) {
      return BadField(field, "is not an integer in range", "send 1 to 1000000");
    }
    aTo = value.get<std::uint64_t>();
    return Success();
  }
  return Success();
}

Json
CommonFields(const CompletionHeader& aHeader, std::string_view aObject)
{
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aHeader.created.time_since_epoch());
  return Json{ { "id", aHeader.request.Value() },
               { "object", aObject },
               { "created", seconds.count() },
               { "model", aHeader.model.Value() } };
}

std::string_view
EventObject(CompletionStyle aStyle)
{
  return aStyle == CompletionStyle::Chat ? "chat.completion.chunk" : "text_completion";
}

Json
UsageJson(const AnswerUsage& aUsage)
{
  const std::uint64_t total = aUsage.prompt.Value() + aUsage.completion.Value();
  return Json{ { "prompt_tokens", aUsage.prompt.Value() },
               { "completion_tokens", aUsage.completion.Value() },
               { "total_tokens", total },
               { "prompt_tokens_details", { { "cached_tokens", aUsage.reused.Value() } } } };
}

Json
EventChoice(const CompletionHeader& aHeader, std::string_view aText, const Json& aFinishReason)
{
  Json choice{ { "index", 0 }, { "finish_reason", aFinishReason } };
  if (aHeader.style == CompletionStyle::Text) {
    choice["text"] = aText;
  } else if (aText.empty()) {
    choice["delta"] = Json::object();
  } else {
    choice["delta"] = { { "role", "assistant" }, { "content", aText } };
  }
  return choice;
}

} // namespace

Result<CompletionRequest>
ParseCompletionRequest(std::string_view aBody, CompletionStyle aStyle)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Fail(ErrorKind::InvalidArgument,
                "the body is not a JSON object",
                "send a JSON object as the body");
  }
  CompletionRequest request;
  request.style = aStyle;
  if (!body.contains("model") || !body["model"].is_string()) {
    return BadField("model", "is missing or not a string", "use a model that /v1/models lists");
  }
  ReadModel(body["model"].get<std::string>(), request);
  auto prompt = aStyle == CompletionStyle::Chat ? ReadMessages(body) : ReadPrompt(body);
  if (!prompt) {
    return Fail(prompt.error());
  }
  request.prompt = std::move(prompt.value());
  const auto maxTokens = ReadMaxTokens(body, request.maxTokens);
  if (!maxTokens) {
    return Fail(maxTokens.error());
  }
  if (body.contains("stream") && !body["stream"].is_null()) {
    if (!body["stream"].is_boolean()) {
      return BadField("stream", "is not a boolean", "send true or false");
    }
    request.stream = body["stream"].get<bool>();
  }
  if (body.contains("n") && body["n"] != 1) {
    return BadField("n", "is not 1", "send one request per completion");
  }
  Json sampling = Json::object();
  for (const char* field : kSamplingFields) {
    if (body.contains(field)) {
      sampling[field] = body[field];
    }
  }
  request.sampling = Dump(sampling);
  return request;
}

std::string
FormatDeltaEvent(const CompletionHeader& aHeader, std::string_view aText)
{
  Json event = CommonFields(aHeader, EventObject(aHeader.style));
  event["choices"] = Json::array({ EventChoice(aHeader, aText, nullptr) });
  return Concat("data: ", Dump(event), "\n\n");
}

std::string
FormatFinalEvents(const CompletionHeader& aHeader,
                  std::string_view aFinishReason,
                  const AnswerUsage& aUsage)
{
  Json event = CommonFields(aHeader, EventObject(aHeader.style));
  event["choices"] = Json::array({ EventChoice(aHeader, "", std::string(aFinishReason)) });
  event["usage"] = UsageJson(aUsage);
  return Concat("data: ", Dump(event), "\n\ndata: [DONE]\n\n");
}

std::string
FormatErrorEvent(std::string_view aErrorBody)
{
  return Concat("data: ", aErrorBody, "\n\n");
}

std::string
FormatCompletion(const CompletionHeader& aHeader,
                 std::string_view aText,
                 std::string_view aFinishReason,
                 const AnswerUsage& aUsage)
{
  const bool chat = aHeader.style == CompletionStyle::Chat;
  Json completion = CommonFields(aHeader, chat ? "chat.completion" : "text_completion");
  Json choice{ { "index", 0 }, { "finish_reason", aFinishReason } };
  if (chat) {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  completion["choices"] = Json::array({ choice });
  completion["usage"] = UsageJson(aUsage);
  return Dump(completion);
}

std::string
FormatIssuedKey(const IdempotencyKey& aKey, Duration aRetention)
{
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aRetention);
  return Dump(Json{
    { "object", "key" }, { "key", aKey.Value() }, { "remembered_seconds", seconds.count() } });
}

std::string
FormatModelList(const std::vector<ModelName>& aModels)
{
  Json list = Json::array();
  for (const ModelName& model : aModels) {
    list.push_back(
      { { "id", model.Value() }, { "object", "model" }, { "owned_by", "damasklink" } });
  }
  return Dump(Json{ { "object", "list" }, { "data", list } });
}

} // namespace damasklink
