// HTTP/1.1 messages as plain data, and the checks that keep one message from hiding another.
//
//   HttpRequestMessage request;
//   if (auto framed = CheckFraming(request.head); !framed) ...   // 400, close the connection.
//   const std::string* length = request.head.fields.Find("Content-Length");
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damasklink/state/Error.h"

namespace damasklink {

// One header field as it stood on the wire.
struct HttpField
{
  std::string name;
  std::string value;

  bool operator==(const HttpField&) const = default;
};

// The header fields of a message in their order. Names compare without regard to case.
class HttpFields
{
public:
  void Add(std::string aName, std::string aValue);

  // Replaces all fields of the name by one.
  void Set(std::string_view aName, std::string aValue);

  void Remove(std::string_view aName);

  // Returns the value of the first field of the name, or null.
  const std::string* Find(std::string_view aName) const;

  // Returns the value of the first field of the name, or an empty text.
  std::string_view Get(std::string_view aName) const;

  std::size_t Count(std::string_view aName) const;

  const std::vector<HttpField>& All() const { return this->fields; }

  bool operator==(const HttpFields&) const = default;

private:
  std::vector<HttpField> fields;
};

// Returns whether two field names or tokens are the same but for the case of ASCII letters.
bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

// Returns whether a comma-separated field holds the token.
bool
ContainsToken(std::string_view aValue, std::string_view aToken);

struct HttpRequestHead
{
  std::string method;
  // Path and query as sent.
  std::string target;
  // 10 for HTTP/1.0, 11 for HTTP/1.1.
  int version = 11;
  HttpFields fields;
};

struct HttpRequestMessage
{
  HttpRequestHead head;
  std::string body;
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

// Refuses heads whose end could be read in two ways: several lengths, a length beside chunks, any
// transfer coding but "chunked", chunks in HTTP/1.0, a control character in a value. A peer that
// reads such a message differently would take its body for a further request. Fails with
// InvalidArgument.
Result<void>
CheckFraming(const HttpRequestHead& aHead);

// Removes the fields that concern one connection only: those of RFC 9110 section 7.6.1, those that
// "Connection" names, and the length, which the sender states anew.
void
RemoveHopByHopFields(HttpFields& aFields);

// Returns whether the sender closes the connection after this message.
bool
ClosesConnection(const HttpFields& aFields, int aVersion);

// Returns how long the peer keeps an idle connection, as "Keep-Alive: timeout=N" says it, in
// seconds.
std::optional<std::uint64_t>
KeepAliveSeconds(const HttpFields& aFields);

// Returns the standard phrase of a status code.
std::string_view
ReasonPhrase(int aStatus);

// Returns the bytes of a request head with the length of its body.
std::string
FormatRequestHead(const HttpRequestHead& aHead, std::size_t aBodyBytes);

// How the body of an answer is delimited.
enum class BodyFraming
{
  Length,
  Chunks,
};

// Returns the bytes of an answer head. aBodyBytes is read with Length only.
std::string
FormatResponseHead(const HttpResponseHead& aHead,
                   BodyFraming aFraming,
                   std::size_t aBodyBytes,
                   bool aClose);

} // namespace damasklink
