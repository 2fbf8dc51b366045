#include "damasklink/protocol/HttpMessage.h"

#include <algorithm>
#include <array>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

// The fields of RFC 9110, section 7.6.1, and those that delimit the body.
constexpr std::array<std::string_view, 8> kHopByHopFields{
  "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
  "Upgrade",    "Transfer-Encoding", "Content-Length",   "Trailer",
};

auto
Malformed(std::string aProblem)
{
  return Fail(ErrorKind::InvalidArgument,
              std::move(aProblem),
              "send one Content-Length or one 'Transfer-Encoding: chunked'");
}

bool
HasControlCharacter(std::string_view aValue)
{
  return std::any_of(aValue.begin(), aValue.end(), [](char aCharacter) {
    const auto code = static_cast<unsigned char>(aCharacter);
    return (code < ' ' && code != '\t') || code == 0x7f;
  });
}

bool
IsDecimal(std::string_view aText)
{
  const auto isDigit = [](char aCharacter) { return aCharacter >= '0' && aCharacter <= '9'; };
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), isDigit);
}

void
AppendFields(std::string& aText, const HttpFields& aFields)
{
  for (const HttpField& field : aFields.All()) {
    aText.append(field.name).append(": ").append(field.value).append("\r\n");
  }
}

} // namespace

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase(ForAbsl(aLeft), ForAbsl(aRight));
}

bool
ContainsToken(std::string_view aValue, std::string_view aToken)
{
  for (const absl::string_view item : absl::StrSplit(ForAbsl(aValue), ',')) {
    if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(item), ForAbsl(aToken))) {
      return true;
    }
  }
  return false;
}

void
HttpFields::Add(std::string aName, std::string aValue)
{
  this->fields.push_back(HttpField{ std::move(aName), std::move(aValue) });
}

void
HttpFields::Set(std::string_view aName, std::string aValue)
{
  this->Remove(aName);
  this->Add(std::string(aName), std::move(aValue));
}

void
HttpFields::Remove(std::string_view aName)
{
  std::erase_if(this->fields,
                [&](const HttpField& aField) { return EqualIgnoringCase(aField.name, aName); });
}

const std::string*
HttpFields::Find(std::string_view aName) const
{
  for (const HttpField& field : this->fields) {
    if (EqualIgnoringCase(field.name, aName)) {
      return &field.value;
    }
  }
  return nullptr;
}

std::string_view
HttpFields::Get(std::string_view aName) const
{
  const std::string* found = this->Find(aName);
  return found == nullptr ? std::string_view() : std::string_view(*found);
}

std::size_t
HttpFields::Count(std::string_view aName) const
{
  return static_cast<std::size_t>(
    std::count_if(this->fields.begin(), this->fields.end(), [&](const HttpField& aField) {
      return EqualIgnoringCase(aField.name, aName);
    }));
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

Result<void>
CheckFraming(const HttpRequestHead& aHead)
{
  for (const HttpField& field : aHead.fields.All()) {
    if (HasControlCharacter(field.value)) {
      return Malformed(Concat("field '", field.name, "' contains a control character"));
    }
  }
  const std::size_t lengths = aHead.fields.Count("Content-Length");
  const std::size_t codings = aHead.fields.Count("Transfer-Encoding");
  if (lengths + codings > 1) {
    return Malformed("the body length is stated more than once");
  }
  if (lengths == 1 && !IsDecimal(aHead.fields.Get("Content-Length"))) {
    return Malformed("Content-Length is not a decimal number");
  }
  if (codings == 1 && !EqualIgnoringCase(aHead.fields.Get("Transfer-Encoding"), "chunked")) {
    return Malformed("the transfer coding is not 'chunked'");
  }
  if (codings == 1 && aHead.version < 11) {
    return Malformed("HTTP/1.0 has no chunked transfer coding");
  }
  if (aHead.fields.Count("Host") > 1) {
    return Malformed("there is more than one Host field");
  }
  return Success();
}

void
RemoveHopByHopFields(HttpFields& aFields)
{
  const std::string named(aFields.Get("Connection"));
  for (const absl::string_view item : absl::StrSplit(named, ',', absl::SkipWhitespace())) {
    const absl::string_view name = absl::StripAsciiWhitespace(item);
    aFields.Remove(std::string_view(name.data(), name.size()));
  }
  for (const std::string_view name : kHopByHopFields) {
    aFields.Remove(name);
  }
}

bool
ClosesConnection(const HttpFields& aFields, int aVersion)
{
  const std::string_view connection = aFields.Get("Connection");
  if (ContainsToken(connection, "close")) {
    return true;
  }
  return aVersion < 11 && !ContainsToken(connection, "keep-alive");
}

std::optional<std::uint64_t>
KeepAliveSeconds(const HttpFields& aFields)
{
  constexpr absl::string_view kPrefix = "timeout=";
  const std::string value(aFields.Get("Keep-Alive"));
  for (const absl::string_view item : absl::StrSplit(value, ',')) {
    absl::string_view text = absl::StripAsciiWhitespace(item);
    std::uint64_t seconds = 0;
    const bool named = absl::StartsWithIgnoreCase(text, kPrefix);
    if (named && absl::SimpleAtoi(text.substr(kPrefix.size()), &seconds)) {
      return seconds;
    }
  }
  return std::nullopt;
}

std::string_view
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string
FormatRequestHead(const HttpRequestHead& aHead, std::size_t aBodyBytes)
{
  std::string text = Concat(aHead.method, " ", aHead.target, " HTTP/1.1\r\n");
  AppendFields(text, aHead.fields);
  const bool bodyless = aBodyBytes == 0 && (aHead.method == "GET" || aHead.method == "DELETE");
  if (!bodyless) {
    text += Concat("Content-Length: ", aBodyBytes, "\r\n");
  }
  return text += "\r\n";
}

std::string
FormatResponseHead(const HttpResponseHead& aHead,
                   BodyFraming aFraming,
                   std::size_t aBodyBytes,
                   bool aClose)
{
  std::string text = Concat("HTTP/1.1 ", aHead.status, " ", ReasonPhrase(aHead.status), "\r\n");
  AppendFields(text, aHead.fields);
  if (aFraming == BodyFraming::Chunks) {
    text += "Transfer-Encoding: chunked\r\n";
  } else {
    text += Concat("Content-Length: ", aBodyBytes, "\r\n");
  }
  if (aClose) {
    text += "Connection: close\r\n";
  }
  return text += "\r\n";
}

} // namespace damasklink
