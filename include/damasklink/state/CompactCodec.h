// Packs numbers and texts into bytes and reads them back, for state that is stored or sent whole.
//
// Numbers are variable-length (seven bits a byte, least significant first), texts are preceded by
// their length. Readers never run past the end: a short or wrong input turns the reader bad.
// Made for what goes over thin links many times; Bytes.h is the fixed-width form of log files.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "damasklink/state/Ids.h"

namespace damasklink {

//   CompactWriter writer;
//   writer.Number(7).Text("hall-north");
//   std::string bytes = std::move(writer).Take();
class CompactWriter
{
public:
  CompactWriter& Number(std::uint64_t aNumber);
  CompactWriter& Flag(bool aFlag) { return this->Number(aFlag ? 1 : 0); }
  // Keeps every bit.
  CompactWriter& Real(double aNumber);
  CompactWriter& Text(std::string_view aText);
  // Appends without a length; the reader must know how many bytes there are.
  CompactWriter& Raw(std::string_view aBytes);

  template<typename Tag>
  CompactWriter& Id(const StringId<Tag>& aId)
  {
    return this->Text(aId.Value());
  }
  template<typename Tag>
  CompactWriter& Id(const NumberId<Tag>& aId)
  {
    return this->Number(aId.Value());
  }

  std::string Take() && { return std::move(this->bytes); }

private:
  std::string bytes;
};

//   CompactReader reader(bytes);
//   std::uint64_t number = reader.Number();
//   if (!reader.AtCleanEnd()) { ... }
//
// Once bad, every read returns zero or an empty text.
class CompactReader
{
public:
  explicit CompactReader(std::string_view aBytes)
    : rest(aBytes)
  {
  }

  std::uint64_t Number();
  bool Flag() { return this->Number() != 0; }
  double Real();
  std::string_view Text();
  std::string_view Raw(std::size_t aCount);

  template<typename IdType>
  IdType Id()
  {
    return IdType(std::string(this->Text()));
  }
  template<typename IdType>
  IdType NumberAs()
  {
    return IdType(this->Number());
  }

  // Reads a count of items that take at least one byte each; more than fit turn the reader bad.
  std::size_t Count();

  void MarkBad();
  bool Bad() const { return this->bad; }
  // Returns whether everything was read and nothing was wrong.
  bool AtCleanEnd() const { return !this->bad && this->rest.empty(); }

private:
  std::string_view rest;
  bool bad = false;
};

} // namespace damasklink
