// HTTP/1.1 messages as plain data, with checks against request smuggling.
//
//   HttpRequestMessage request;
//   if (auto framed = CheckFraming(request.head); !framed) ...   // 400, close the connection.
//   const std::string* length = request.head.fields.Find("Content-Length");
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damasklink/coordination/MemoryBudget.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// A header field as received.
struct HttpField
{
  std::string name;
  std::string value;

  bool operator==(const HttpField&) const = default;
};

// The header fields of a message, in the order received. Names are compared ignoring case.
class HttpFields
{
public:
  void Add(std::string aName, std::string aValue);

  // Replaces all fields with this name by one field.
  void Set(std::string_view aName, std::string aValue);

  void Remove(std::string_view aName);

  // Returns the value of the first field with this name, or nullptr.
  const std::string* Find(std::string_view aName) const;

  // Returns the value of the first field with this name, or an empty string.
  std::string_view Get(std::string_view aName) const;

  std::size_t Count(std::string_view aName) const;

  const std::vector<HttpField>& All() const { return this->fields; }

  bool operator==(const HttpFields&) const = default;

private:
  std::vector<HttpField> fields;
};

// Compares two field names or tokens, ignoring the case of ASCII letters.
bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

// Returns whether a comma-separated field value contains the token. Ignores case.
bool
ContainsToken(std::string_view aValue, std::string_view aToken);

struct HttpRequestHead
{
  std::string method;
  // Path and query, as sent.
  std::string target;
  // 10 for HTTP/1.0, 11 for HTTP/1.1.
  int version = 11;
  HttpFields fields;
};

struct HttpRequestMessage
{
  HttpRequestHead head;
  std::string body;
  // What the body counts against the memory of this host; empty for requests of its own.
  MemoryReservation memory{};
};

struct HttpResponseHead
{
  int status = 0;
  HttpFields fields;
};

struct HttpResponseMessage
{
  HttpResponseHead head;
  std::string body;
};

// Returns the path of a request target, without its query.
std::string_view
PathOf(std::string_view aTarget);

// Rejects heads that other implementations might parse differently: more than one Content-Length,
// Content-Length together with Transfer-Encoding, any transfer coding except "chunked", "chunked"
// in HTTP/1.0, more than one Host, or a control character in a value. A peer that frames such a
// message differently would take its body for another request. Fails with InvalidArgument.
Result<void>
CheckFraming(const HttpRequestHead& aHead);

// Removes the fields that apply to a single connection: those of RFC 9110, section 7.6.1, those
// that "Connection" lists, and Content-Length, which the sender sets again.
void
RemoveHopByHopFields(HttpFields& aFields);

// Returns whether the sender closes the connection after this message. HTTP/1.0 closes unless
// "Connection" contains "keep-alive".
bool
ClosesConnection(const HttpFields& aFields, int aVersion);

// Returns the time in seconds that the peer keeps an idle connection open, from
// "Keep-Alive: timeout=N", or nothing if it is not stated.
std::optional<std::uint64_t>
KeepAliveSeconds(const HttpFields& aFields);

// Returns the standard reason phrase of a status code, or "Status" for one that is not in use here.
std::string_view
ReasonPhrase(int aStatus);

// Returns the bytes of a request head. Content-Length is added, except for GET and DELETE without a
// body.
std::string
FormatRequestHead(const HttpRequestHead& aHead, std::size_t aBodyBytes);

// How the end of a response body is marked.
enum class BodyFraming
{
  Length, // Content-Length
  Chunks, // Transfer-Encoding: chunked
};

// Returns the bytes of a response head. aBodyBytes is used with BodyFraming::Length only; aClose
// adds "Connection: close".
std::string
FormatResponseHead(const HttpResponseHead& aHead,
                   BodyFraming aFraming,
                   std::size_t aBodyBytes,
                   bool aClose);

} // namespace damasklink
